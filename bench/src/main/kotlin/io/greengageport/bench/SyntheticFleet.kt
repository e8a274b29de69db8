package io.greengageport.bench

import com.sun.net.httpserver.HttpServer
import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.LoadReport
import io.greengageport.standins.SyntheticRunners
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.atomic.LongAdder
import kotlin.random.Random
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/**
 * Simulates runners that are listed and report load but run no requests.
 *
 * One HTTP server answers the calls to all of them.
 */
internal class SyntheticFleet(private val seed: Long) : AutoCloseable {
    private val callCount = LongAdder()
    private val executor = Executors.newFixedThreadPool(THREADS)
    private val server = HttpServer.create(
        InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        BACKLOG
    ).also {
        it.executor = executor
        it.createContext("/") { e ->
            callCount.increment()
            e.requestBody.readAllBytes()
            e.sendResponseHeaders(OK, NO_EVENTS.size.toLong())
            e.responseBody.use { body -> body.write(NO_EVENTS) }
        }
        it.start()
    }

    /** Number of calls to the runners so far: polls of cache events, apart from rare orders. */
    val calls: Long get() = callCount.sum()

    /**
     * Returns list entries and load reports of [count] runners as JSON for `PUT /control/runners`.
     *
     * The first [local] runners are in [dataCentre]. The load figures differ by [round].
     */
    fun newRunnersJson(count: Int, local: Int, dataCentre: String, round: Int): String {
        val random = Random(seed + round)
        val ids = List(count) { RunnerId("runner-%04d".format(it)) }
        val service = ServiceName("packing-line")
        return Json.encodeToString(
            SyntheticRunners(
                runners = ids.mapIndexed { i, id ->
                    val dc = if (i < local) dataCentre else "dc${FIRST_REMOTE + i % REMOTE_COUNT}"
                    ListedRunner(
                        id,
                        service,
                        "127.0.0.1:${server.address.port}",
                        DataCentre(dc),
                        accelerator = "standard",
                        layers = layers(i)
                    )
                },
                loads = ids.mapIndexed { i, id ->
                    LoadReport(
                        id,
                        service,
                        // Random like real ids, because the platform compresses its pages.
                        bootId = "%016x".format(Random(seed + i).nextLong()),
                        reportedAtMillis =
                            System.currentTimeMillis() - random.nextInt(MAX_AGE_MILLIS),
                        running = random.nextInt(MAX_RUNNING),
                        queuedTokens = random.nextLong(MAX_QUEUED_TOKENS),
                        tokensPerSecond = TOKENS_PER_SECOND,
                        layers = layers(i),
                        version = "v1"
                    )
                }
            )
        )
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    private fun layers(i: Int) = (i % STAGE_COUNT * LAYERS_PER_STAGE).let {
        LayerRange(it, it + LAYERS_PER_STAGE)
    }

    private companion object {
        const val THREADS = 4
        const val BACKLOG = 2_048
        const val OK = 200
        const val FIRST_REMOTE = 4
        const val REMOTE_COUNT = 5
        const val MAX_RUNNING = 16
        const val MAX_AGE_MILLIS = 1_000
        const val MAX_QUEUED_TOKENS = 4_000L
        const val TOKENS_PER_SECOND = 500.0
        const val STAGE_COUNT = 3
        const val LAYERS_PER_STAGE = 4
        val NO_EVENTS = "[]".encodeToByteArray()
    }
}
