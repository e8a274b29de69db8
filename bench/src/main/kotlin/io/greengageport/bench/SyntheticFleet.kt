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

/** Runners that are listed and report load without running; one server answers for all. */
internal class SyntheticFleet(private val seed: Long) : AutoCloseable {
    private val polls = LongAdder()
    private val executor = Executors.newFixedThreadPool(THREADS)
    private val server = HttpServer.create(
        InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        BACKLOG
    ).also {
        it.executor = executor
        it.createContext("/") { e ->
            polls.increment()
            e.requestBody.readAllBytes()
            e.sendResponseHeaders(OK, NO_EVENTS.size.toLong())
            e.responseBody.use { body -> body.write(NO_EVENTS) }
        }
        it.start()
    }

    /** Calls to the runners so far; these are polls of cache events but for rare orders. */
    val calls: Long get() = polls.sum()

    /** The list and reports of [count] runners, of which [local] are in [centre]. */
    fun page(count: Int, local: Int, centre: String, round: Int): String {
        val random = Random(seed + round)
        val ids = List(count) { RunnerId("runner-%04d".format(it)) }
        val service = ServiceName("packing-line")
        return Json.encodeToString(
            SyntheticRunners(
                runners = ids.mapIndexed { i, id ->
                    val dc = if (i < local) centre else "dc${FIRST_REMOTE + i % REMOTE}"
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
                        // As random as real ones, since the platform compresses the page.
                        bootId = "%016x".format(Random(seed + i).nextLong()),
                        reportedAtMillis = System.currentTimeMillis() - random.nextInt(LAG_MILLIS),
                        running = random.nextInt(BATCH),
                        queuedTokens = random.nextLong(MAX_QUEUED),
                        tokensPerSecond = RATE,
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

    private fun layers(i: Int) = (i % STAGES * LAYERS_OF_STAGE).let {
        LayerRange(it, it + LAYERS_OF_STAGE)
    }

    private companion object {
        const val THREADS = 4
        const val BACKLOG = 2_048
        const val OK = 200
        const val FIRST_REMOTE = 4
        const val REMOTE = 5
        const val BATCH = 16
        const val LAG_MILLIS = 1_000
        const val MAX_QUEUED = 4_000L
        const val RATE = 500.0
        const val STAGES = 3
        const val LAYERS_OF_STAGE = 4
        val NO_EVENTS = "[]".encodeToByteArray()
    }
}
