package io.greengageport.bench

import com.sun.management.OperatingSystemMXBean
import io.greengageport.standins.EngineCounters
import java.lang.management.ManagementFactory
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json

/**
 * Polls the counters of the engines and the throughput bound of the fleet during an experiment.
 *
 * The counters of a process are lost when it ends. For a killed engine, up to [POLL_MILLIS] of its
 * work after the last poll is therefore not counted.
 */
internal class FleetPoller(
    private val fleet: LocalFleet,
    private val file: FleetFile,
    private val service: String
) {
    private val counters = ConcurrentHashMap<Pair<String, Long>, EngineCounters>()
    private val cpuShareSamples = java.util.concurrent.ConcurrentLinkedQueue<Double>()
    private val machine = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean::class.java)
    private val boundSamples = java.util.concurrent.ConcurrentLinkedQueue<Double>()
    private val layers = file.engines.filter { it.service == service }.maxOfOrNull { it.until } ?: 0

    /** Engines that run the last layer; the number of their steps is the number of tokens. */
    private val lastStages =
        file.engines.filter { it.service == service && it.until == layers }.map { it.id }

    /** Tokens computed so far by the engines that run the last layer. */
    val tokensComputed: Long
        get() = counters.filterKeys { it.first in lastStages }.values.sumOf { it.steps }

    /** Mean utilisation of the processors of the machine, 0 to 1. */
    val cpuShare: Double get() = if (cpuShareSamples.isEmpty()) 0.0 else cpuShareSamples.average()

    /** Mean throughput bound of the fleet in tokens per second. */
    val boundTokensPerSecond: Double
        get() = if (boundSamples.isEmpty()) 0.0 else boundSamples.average()

    /** Polls in the background until the job is cancelled. */
    fun start(scope: CoroutineScope): Job = scope.launch(Dispatchers.IO) {
        while (isActive) {
            poll()
            delay(POLL_MILLIS)
        }
    }

    /** Reads all counters and the bound once. */
    fun poll() {
        machine.cpuLoad.takeIf { it > 0 }?.let { cpuShareSamples += it }
        for (e in file.engines) if (e.service == service) pollCounters(e.id)
        val instance = fleet.instances.firstOrNull { fleet.process(it).isAlive } ?: return
        fleet.statusOrNull(instance)?.services?.firstOrNull { it.name.value == service }
            ?.let { boundSamples += it.boundTokensPerSecond }
    }

    /** Returns the counters of all engine processes at the last poll, with the current time. */
    fun sampleEngines(): EngineSample = EngineSample(System.nanoTime(), counters.toMap())

    private fun pollCounters(engine: String) {
        val p = fleet.process(engine)
        if (!p.isAlive) return
        val n = try {
            val body = fleet.get("http://${p.address}/counters", CALL_TIMEOUT).body()
            json.decodeFromString<EngineCounters>(body)
        } catch (e: java.io.IOException) {
            return
        }
        counters[engine to p.pid] = n
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val POLL_MILLIS = 500L

        /** Limits how long a frozen engine delays the polls of the others. */
        val CALL_TIMEOUT: Duration = Duration.ofMillis(300)
    }
}
