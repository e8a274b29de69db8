package io.greengageport.ledger

import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.greengageport.common.SystemClock
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import io.greengageport.testkit.InMemoryLog
import kotlin.math.ln
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

/**
 * Measures the memory per key, and the rate and latency of claims; for manual runs.
 *
 * With the argument `spacing`, measures only the latency of claims by fleet size, in virtual time.
 */
fun main(args: Array<String>) {
    println("ledger: seed ${Measure.SEED}, java ${System.getProperty("java.version")}")
    if ("spacing" in args) return Measure.measureSpacing()
    listOf(10_000, 100_000, 1_000_000).forEach { Measure.measureMemory(it) }
    runBlocking {
        for (rate in listOf(10, 30)) {
            for (callers in listOf(10, 100, 1_000)) Measure.measureClaims(rate, callers)
        }
    }
    Measure.measureSpacing()
}

private object Measure {
    const val SEED = 7
    private const val BODY_BYTES = 100
    private const val ORDERS = 2_000
    private const val CALL_MILLIS = 20L
    private val claimant = InstanceId("entry-1")

    fun measureMemory(keys: Int) {
        val before = usedBytes()
        val table = OrderTable(maxClockSkewMillis = 30_000)
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

    fun measureSpacing() {
        for (instances in listOf(9, 36, 120, 360)) {
            for (rate in listOf(0.036, 0.36, 1.8)) measureSpacing(instances, rate)
        }
    }

    /**
     * Measures the latency of claims on one of [instances] instances, in virtual time; the instance
     * makes [rate] claims per second.
     */
    fun measureSpacing(instances: Int, rate: Double) {
        val time = VirtualTime(Random(SEED))
        val log = SimulatedLog(time, Random(SEED))
        val instance = SimulatedInstance(claimant, time, log, SimulatedPeers(), SEED) { instances }
        instance.start()
        time.advance(1_000)
        val random = Random(SEED)
        val before = log.store.appendCount
        val startedAtMillis = time.monotonicMillis()
        var results = listOf<Pair<BeginResult, Long>>()
        time.run(limitMillis = Long.MAX_VALUE / 2) {
            results = List(ORDERS) { i ->
                delay((-ln(1 - random.nextDouble()) / rate * 1_000).toLong())
                async { order(instance.ledger, time, i) }
            }.awaitAll()
        }
        val latencies = results.filter { it.first is BeginResult.Won }.map { it.second }.sorted()
        val seconds = (time.monotonicMillis() - startedAtMillis) / 1_000.0
        println(
            "ledger: $instances instances, $rate orders/s each: begin p50 " +
                "${latencies[latencies.size / 2]} ms, " +
                "p95 ${latencies[latencies.size * 95 / 100]} ms, " +
                "max ${latencies.last()} ms, " +
                "${results.size - latencies.size} of $ORDERS not won, " +
                "fleet %.0f appends/s".format(
                    (log.store.appendCount - before) / seconds * instances
                )
        )
    }

    private suspend fun order(ledger: OrderLedger, time: VirtualTime, number: Int) = run {
        val startedAtMillis = time.monotonicMillis()
        val call = OrderCall(
            OrderSimulation.key("$number"),
            Digest(0, 0),
            time.wallMillis(),
            startedAtMillis + 5_000
        )
        val r = ledger.claim(call)
        val latencyMillis = time.monotonicMillis() - startedAtMillis
        if (r is BeginResult.Won && r.permit.startSending()) {
            delay(CALL_MILLIS)
            r.permit.recordOutcome(CallOutcome(201, emptyMap(), ByteArray(BODY_BYTES)))
        }
        r to latencyMillis
    }

    /** Measures claims of [callers] concurrent callers, each of which claims sequentially. */
    suspend fun measureClaims(rate: Int, callers: Int) {
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
        val process = SimulatedProcess(VirtualTime(Random(SEED)))
        val ledger = OrderLedger(
            log,
            claimant,
            peers.callsFrom(claimant),
            peers.join(claimant, process),
            SystemClock,
            Random(SEED),
            { 1 },
            LedgerSettings(appendsPerSecond = rate)
        )
        runBlocking(Dispatchers.Default) {
            val run = launch { ledger.run() }
            while (!ledger.isReady) delay(1)
            val latencies = mutableListOf<Long>()
            val elapsed = measureTime {
                List(callers) { c ->
                    async { runCaller(ledger, c) }
                }.awaitAll().forEach { latencies += it }
            }
            run.cancelAndJoin()
            latencies.sort()
            val perSecond = latencies.size * 1_000L / elapsed.inWholeMilliseconds
            println(
                "ledger: $rate appends/s, $callers callers: $perSecond claims/s, " +
                    "${store.appendCount} appends, begin p50 ${latencies[latencies.size / 2]}" +
                    " ms, p99 ${latencies[latencies.size * 99 / 100]} ms"
            )
        }
    }

    private suspend fun runCaller(ledger: OrderLedger, number: Int): List<Long> = List(20) {
        val startedAtMillis = SystemClock.monotonicMillis()
        val key = OrderSimulation.key("$number-$it")
        val issuedAtMillis = SystemClock.wallMillis()
        val r = ledger.claim(OrderCall(key, Digest(0, 0), issuedAtMillis, startedAtMillis + 5_000))
        val latencyMillis = SystemClock.monotonicMillis() - startedAtMillis
        if (r is BeginResult.Won) {
            r.permit.startSending()
            r.permit.recordOutcome(CallOutcome(201, emptyMap(), ByteArray(BODY_BYTES)))
        } else {
            println("ledger: not won: $r after $latencyMillis ms, ${ledger.status()}")
        }
        delay(1.milliseconds)
        latencyMillis
    }
}
