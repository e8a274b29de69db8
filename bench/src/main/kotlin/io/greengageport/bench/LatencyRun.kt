package io.greengageport.bench

import io.greengageport.standins.ModelFunction
import java.lang.management.ManagementFactory
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Alternates slices of the same requests sent to the engine and to an entry instance, so that both
 * see the same machine; then saturates the instance with streams to find its cost per token.
 */
internal class LatencyRun(
    private val fleet: LocalFleet,
    private val rate: Double,
    private val slices: Int,
    private val sliceSeconds: Int,
    private val seed: Long
) {
    private val instance = fleet.instances.first()
    private val engine = ENGINE
    private val failed = AtomicInteger()
    private val pid = fleet.process(instance).pid
    private val start = System.nanoTime()
    private val check = AnswerCheck()
    private val routed = CallerClient(check) { System.nanoTime() - start }
    private val http = newCallerHttpClient()
    private val direct =
        DirectEngineClient(http, engine, fleet.process(engine).address, LAYERS)

    suspend fun run(): LatencyResult = withContext(Dispatchers.Default) {
        delay(REST_MILLIS)
        val atRest = ProcessUsage.of(pid).residentMegabytes
        slice(-1, ::sendDirect)
        slice(-1, ::sendRouted)
        slice(-2, ::sendRouted)
        val loadBefore = load()
        val directNanos = mutableListOf<Long>()
        val routedNanos = mutableListOf<Long>()
        var cpu = 0.0
        failed.set(0)
        repeat(slices) { i ->
            directNanos += slice(i, ::sendDirect)
            val before = ProcessUsage.of(pid).cpuSeconds
            routedNanos += slice(i, ::sendRouted)
            cpu += ProcessUsage.of(pid).cpuSeconds - before
        }
        saturate(SATURATION_WARMUP_SECONDS)
        val before = ProcessUsage.of(pid).cpuSeconds
        val began = System.nanoTime()
        val tokens = saturate(SATURATION_SECONDS)
        val seconds = (System.nanoTime() - began) / NANOS_PER_SECOND
        val after = ProcessUsage.of(pid)
        routed.close()
        http.close()
        LatencyResult(
            rate = rate,
            seed = seed,
            machine = Machine(Runtime.getRuntime().availableProcessors(), loadBefore, load()),
            direct = Percentiles.ofNanos(directNanos),
            routed = Percentiles.ofNanos(routedNanos),
            failed = failed.get(),
            saturatedTokens = tokens,
            saturatedSeconds = seconds,
            saturatedCpuSeconds = after.cpuSeconds - before,
            cpuShareAtRate = cpu / (slices * sliceSeconds),
            residentAtRest = atRest,
            residentUnderLoad = after.residentMegabytes
        )
    }

    /** Sends one slice of arrivals in an open loop; returns the time of each whole answer. */
    private suspend fun slice(number: Int, send: suspend (Arrival) -> Boolean): List<Long> {
        val group = CallerGroup(
            name = "short",
            keys = listOf(KEY),
            rank = "urgent",
            rate = rate,
            promptWords = PROMPT_WORDS,
            tokens = SHORT_TOKENS
        )
        val arrivals = Arrivals.of(listOf(group), sliceSeconds, seed + number)
        val times = ConcurrentLinkedQueue<Long>()
        val began = System.nanoTime()
        coroutineScope {
            for (a in arrivals) {
                val wait = a.atNanos - (System.nanoTime() - began)
                if (wait > NANOS_PER_MILLI) delay(wait / NANOS_PER_MILLI)
                launch {
                    // From the actual sending, since the timer's error would hide the difference.
                    val sent = System.nanoTime()
                    if (send(a)) times += System.nanoTime() - sent else failed.incrementAndGet()
                }
            }
        }
        return times.toList()
    }

    private suspend fun sendDirect(a: Arrival): Boolean {
        val texts = direct.answer("d-${a.number}", SERVICE, a.prompt, a.group.tokens)
        return texts == ModelFunction.answer(a.prompt, a.group.tokens, LAYERS)
    }

    private suspend fun sendRouted(a: Arrival): Boolean {
        val address = fleet.callers(instance)
        val r = routed.send(a, address, OrderKey("", java.time.Instant.EPOCH), LIMIT_MILLIS)
        return r.end == CallEnd.ANSWERED && r.fault == null
    }

    /** Keeps [STREAMS] streams busy; returns the tokens received. */
    private suspend fun saturate(seconds: Int): Long {
        val tokens = AtomicLong()
        val end = System.nanoTime() + seconds * NANOS_PER_SECOND.toLong()
        val group = CallerGroup(
            name = "long",
            keys = listOf(KEY),
            rank = "batch",
            rate = 0.0,
            tokens = LONG_TOKENS
        )
        coroutineScope {
            repeat(STREAMS) { i ->
                launch {
                    var n = 0
                    while (System.nanoTime() < end) {
                        val a = Arrival(n, 0, group, KEY, "long $seconds $i ${n++}", 0)
                        val r = routed.send(
                            a,
                            fleet.callers(instance),
                            OrderKey("", java.time.Instant.EPOCH),
                            LIMIT_MILLIS
                        )
                        tokens.addAndGet(r.tokens.toLong())
                        if (r.end != CallEnd.ANSWERED || r.fault != null) failed.incrementAndGet()
                    }
                }
            }
        }
        return tokens.get()
    }

    private fun load() = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

    private companion object {
        const val ENGINE = "solo-1"
        const val SERVICE = "packing-line"
        const val KEY = "small-1-key"
        const val LAYERS = 12
        const val PROMPT_WORDS = 12
        const val SHORT_TOKENS = 4
        const val LONG_TOKENS = 256
        const val STREAMS = 12
        const val LIMIT_MILLIS = 30_000L
        const val REST_MILLIS = 3_000L
        const val SATURATION_WARMUP_SECONDS = 5
        const val SATURATION_SECONDS = 10
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
