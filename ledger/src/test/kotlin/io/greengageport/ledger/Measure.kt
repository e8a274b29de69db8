package io.greengageport.ledger

import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.greengageport.common.SystemClock
import io.greengageport.platform.LogError
import io.greengageport.platform.LogService
import io.greengageport.testkit.InMemoryLog
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

/** Prints the memory per remembered key, and the rate and latency of claims; for manual runs. */
fun main() {
    println("ledger: seed ${Measure.SEED}, java ${System.getProperty("java.version")}")
    listOf(10_000, 100_000, 1_000_000).forEach { Measure.memory(it) }
    runBlocking {
        for (rate in listOf(10, 30)) {
            for (callers in listOf(10, 100, 1_000)) Measure.claims(rate, callers)
        }
    }
}

private object Measure {
    const val SEED = 7
    private const val BODY_BYTES = 100
    private val claimant = InstanceId("entry-1")

    fun memory(keys: Int) {
        val before = usedBytes()
        val table = OrderTable(skewMillis = 30_000)
        val random = Random(SEED)
        for (i in 0 until keys) {
            val key = OrderSimulation.key("order-$i")
            val id = random.nextLong()
            table.apply(OrderRecord.Claim(key, id, claimant, Digest(id, id), 0), 0)
            val o = CallOutcome(201, emptyMap(), ByteArray(BODY_BYTES))
            table.apply(OrderRecord.Outcome(key, id, o), 0)
        }
        val used = (usedBytes() - before) / keys
        println("ledger: $keys keys: $used B a key, estimated ${table.bytes / keys} B")
    }

    private fun usedBytes(): Long {
        repeat(4) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    /** [callers] concurrent callers, each of which makes one claim after the other. */
    suspend fun claims(rate: Int, callers: Int) {
        val store = InMemoryLog()
        val log = object : LogService by store {
            override suspend fun append(
                stream: String,
                payload: ByteArray
            ): Result<Long, LogError> {
                delay(5)
                return store.append(stream, payload)
            }
        }
        val peers = SimulatedPeers()
        val lane = Lane(VirtualTime(Random(SEED)))
        val ledger = OrderLedger(
            log,
            claimant,
            peers.callsFrom(claimant),
            peers.join(claimant, lane),
            SystemClock,
            Random(SEED),
            LedgerSettings(appendsPerSecond = rate)
        )
        runBlocking(Dispatchers.Default) {
            val run = launch { ledger.run() }
            while (!ledger.ready) delay(1)
            val begun = mutableListOf<Long>()
            val took = measureTime {
                List(callers) { c ->
                    async { caller(ledger, c) }
                }.awaitAll().forEach { begun += it }
            }
            run.cancelAndJoin()
            begun.sort()
            val perSecond = begun.size * 1_000L / took.inWholeMilliseconds
            println(
                "ledger: $rate appends/s, $callers callers: $perSecond claims/s, " +
                    "${store.appends} appends, begin p50 ${begun[begun.size / 2]} ms, " +
                    "p99 ${begun[begun.size * 99 / 100]} ms"
            )
        }
    }

    private suspend fun caller(ledger: OrderLedger, number: Int): List<Long> = List(20) {
        val started = SystemClock.monotonicMillis()
        val key = OrderSimulation.key("$number-$it")
        val issued = SystemClock.wallMillis()
        val r = ledger.begin(OrderCall(key, Digest(0, 0), issued, started + 5_000))
        val latency = SystemClock.monotonicMillis() - started
        if (r is BeginResult.Won) {
            r.permit.startSending()
            r.permit.complete(CallOutcome(201, emptyMap(), ByteArray(BODY_BYTES)))
        } else {
            println("ledger: not won: $r after $latency ms, ${ledger.status()}")
        }
        delay(1.milliseconds)
        latency
    }
}
