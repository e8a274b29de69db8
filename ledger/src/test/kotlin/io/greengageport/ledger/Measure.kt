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
 * Prints the memory per remembered key, and the rate and latency of claims; for manual runs. The
 * argument `spacing` limits it to the latency by the size of the fleet, in virtual time.
 */
fun main(args: Array<String>) {
    println("ledger: seed ${Measure.SEED}, java ${System.getProperty("java.version")}")
    if ("spacing" in args) return Measure.spacing()
    listOf(10_000, 100_000, 1_000_000).forEach { Measure.memory(it) }
    runBlocking {
        for (rate in listOf(10, 30)) {
            for (callers in listOf(10, 100, 1_000)) Measure.claims(rate, callers)
        }
    }
    Measure.spacing()
}

private object Measure {
    const val SEED = 7
    private const val BODY_BYTES = 100
    private const val ORDERS = 2_000
    private const val CALL_MILLIS = 20L
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

    fun spacing() {
        for (instances in listOf(9, 36, 120, 360)) {
            for (rate in listOf(0.036, 0.36, 1.8)) spacing(instances, rate)
        }
    }

    /** Latency of the claims of one of [instances] instances, [rate] a second, in virtual time. */
    fun spacing(instances: Int, rate: Double) {
        val time = VirtualTime(Random(SEED))
        val log = SimulatedLog(time, Random(SEED))
        val one = SimulatedInstance(claimant, time, log, SimulatedPeers(), SEED) { instances }
        one.start()
        time.advance(1_000)
        val random = Random(SEED)
        val before = log.store.appends
        val began = time.monotonicMillis()
        var results = listOf<Pair<BeginResult, Long>>()
        time.run(limit = Long.MAX_VALUE / 2) {
            results = List(ORDERS) { i ->
                delay((-ln(1 - random.nextDouble()) / rate * 1_000).toLong())
                async { order(one.ledger, time, i) }
            }.awaitAll()
        }
        val millis = results.filter { it.first is BeginResult.Won }.map { it.second }.sorted()
        val seconds = (time.monotonicMillis() - began) / 1_000.0
        println(
            "ledger: $instances instances, $rate orders/s each: begin p50 " +
                "${millis[millis.size / 2]} ms, p95 ${millis[millis.size * 95 / 100]} ms, " +
                "max ${millis.last()} ms, ${results.size - millis.size} of $ORDERS not won, " +
                "fleet %.0f appends/s".format((log.store.appends - before) / seconds * instances)
        )
    }

    private suspend fun order(ledger: OrderLedger, time: VirtualTime, number: Int) = run {
        val started = time.monotonicMillis()
        val call = OrderCall(
            OrderSimulation.key("$number"),
            Digest(0, 0),
            time.wallMillis(),
            started + 5_000
        )
        val r = ledger.begin(call)
        val latency = time.monotonicMillis() - started
        if (r is BeginResult.Won && r.permit.startSending()) {
            delay(CALL_MILLIS)
            r.permit.complete(CallOutcome(201, emptyMap(), ByteArray(BODY_BYTES)))
        }
        r to latency
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
            { 1 },
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
