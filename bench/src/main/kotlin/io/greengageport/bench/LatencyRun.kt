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
 * Compares the latency of an engine with and without an entry instance in front of it.
 *
 * Alternates slices of the same requests sent to the engine and to an entry instance, so that both
 * run under the same machine load, and then saturates the instance with streams to measure its
 * cost per token.
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
    private val failures = AtomicInteger()
    private val pid = fleet.process(instance).pid
    private val originNanos = System.nanoTime()
    private val answerCheck = AnswerCheck()
    private val routedClient = CallerClient(answerCheck) { System.nanoTime() - originNanos }
    private val http = newCallerHttpClient()
    private val directClient =
        DirectEngineClient(http, engine, fleet.process(engine).address, LAYERS)

    /** Runs all slices and the saturation phase and returns the figures. */
    suspend fun run(): LatencyResult = withContext(Dispatchers.Default) {
        delay(IDLE_MILLIS)
        val residentAtRestMebibytes = ProcessUsage.of(pid).residentMebibytes
        // These slices warm up both paths; their durations are not counted.
        runSlice(-1, ::sendDirect)
        runSlice(-1, ::sendRouted)
        runSlice(-2, ::sendRouted)
        val loadBefore = loadAverage()
        val directNanos = mutableListOf<Long>()
        val routedNanos = mutableListOf<Long>()
        var cpuSeconds = 0.0
        failures.set(0)
        repeat(slices) { i ->
            directNanos += runSlice(i, ::sendDirect)
            val before = ProcessUsage.of(pid).cpuSeconds
            routedNanos += runSlice(i, ::sendRouted)
            cpuSeconds += ProcessUsage.of(pid).cpuSeconds - before
        }
        saturateInstance(SATURATION_WARMUP_SECONDS)
        val before = ProcessUsage.of(pid).cpuSeconds
        val startedAtNanos = System.nanoTime()
        val tokens = saturateInstance(SATURATION_SECONDS)
        val seconds = (System.nanoTime() - startedAtNanos) / NANOS_PER_SECOND
        val after = ProcessUsage.of(pid)
        routedClient.close()
        http.close()
        LatencyResult(
            rate = rate,
            seed = seed,
            machine = Machine(
                Runtime.getRuntime().availableProcessors(),
                loadBefore,
                loadAverage()
            ),
            direct = Percentiles.ofNanos(directNanos),
            routed = Percentiles.ofNanos(routedNanos),
            failed = failures.get(),
            saturatedTokens = tokens,
            saturatedSeconds = seconds,
            saturatedCpuSeconds = after.cpuSeconds - before,
            cpuShareAtRate = cpuSeconds / (slices * sliceSeconds),
            residentAtRestMebibytes = residentAtRestMebibytes,
            residentUnderLoadMebibytes = after.residentMebibytes
        )
    }

    /**
     * Sends one slice of arrivals in an open loop.
     *
     * Returns the duration of each correct answer in nanoseconds; the other requests count as
     * [failures].
     */
    private suspend fun runSlice(number: Int, send: suspend (Arrival) -> Boolean): List<Long> {
        val group = CallerGroup(
            name = "short",
            keys = listOf(KEY),
            rank = "urgent",
            rate = rate,
            promptWords = PROMPT_WORDS,
            tokens = SHORT_TOKENS
        )
        val arrivals = Arrivals.generate(listOf(group), sliceSeconds, seed + number)
        val nanos = ConcurrentLinkedQueue<Long>()
        val startedAtNanos = System.nanoTime()
        coroutineScope {
            for (a in arrivals) {
                val waitNanos = a.atNanos - (System.nanoTime() - startedAtNanos)
                if (waitNanos > NANOS_PER_MILLI) delay(waitNanos / NANOS_PER_MILLI)
                launch {
                    // Counted from the actual send time: timer error would hide the difference.
                    val sent = System.nanoTime()
                    if (send(a)) nanos += System.nanoTime() - sent else failures.incrementAndGet()
                }
            }
        }
        return nanos.toList()
    }

    private suspend fun sendDirect(a: Arrival): Boolean {
        val texts = directClient.generate("d-${a.number}", SERVICE, a.prompt, a.group.tokens)
        return texts == ModelFunction.answer(a.prompt, a.group.tokens, LAYERS)
    }

    private suspend fun sendRouted(a: Arrival): Boolean {
        val address = fleet.callerAddress(instance)
        val r = routedClient.send(a, address, OrderKey("", java.time.Instant.EPOCH), LIMIT_MILLIS)
        return r.end == CallEnd.ANSWERED && r.fault == null
    }

    /** Keeps [STREAM_COUNT] streams busy for [seconds]; returns the tokens received. */
    private suspend fun saturateInstance(seconds: Int): Long {
        val tokens = AtomicLong()
        val endNanos = System.nanoTime() + seconds * NANOS_PER_SECOND.toLong()
        val group = CallerGroup(
            name = "long",
            keys = listOf(KEY),
            rank = "batch",
            rate = 0.0,
            tokens = LONG_TOKENS
        )
        coroutineScope {
            repeat(STREAM_COUNT) { i ->
                launch {
                    var n = 0
                    while (System.nanoTime() < endNanos) {
                        val a = Arrival(n, 0, group, KEY, "long $seconds $i ${n++}", 0)
                        val r = routedClient.send(
                            a,
                            fleet.callerAddress(instance),
                            OrderKey("", java.time.Instant.EPOCH),
                            LIMIT_MILLIS
                        )
                        tokens.addAndGet(r.tokens.toLong())
                        if (r.end != CallEnd.ANSWERED || r.fault != null) failures.incrementAndGet()
                    }
                }
            }
        }
        return tokens.get()
    }

    private fun loadAverage() = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

    private companion object {
        const val ENGINE = "solo-1"
        const val SERVICE = "packing-line"
        const val KEY = "small-1-key"
        const val LAYERS = 12
        const val PROMPT_WORDS = 12
        const val SHORT_TOKENS = 4
        const val LONG_TOKENS = 256
        const val STREAM_COUNT = 12
        const val LIMIT_MILLIS = 30_000L
        const val IDLE_MILLIS = 3_000L
        const val SATURATION_WARMUP_SECONDS = 5
        const val SATURATION_SECONDS = 10
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
