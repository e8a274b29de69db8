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
 * Polls counters of engines and the fleet's bound while an experiment runs.
 *
 * Counters die with their process; what a killed engine did after the last poll is lost, at most
 * [POLL_MILLIS] of its work.
 */
internal class FleetWatch(
    private val fleet: LocalFleet,
    private val file: FleetFile,
    private val service: String
) {
    private val counters = ConcurrentHashMap<Pair<String, Long>, EngineCounters>()
    private val cpuShares = java.util.concurrent.ConcurrentLinkedQueue<Double>()
    private val machine = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean::class.java)
    private val bounds = java.util.concurrent.ConcurrentLinkedQueue<Double>()
    private val layers = file.engines.filter { it.service == service }.maxOfOrNull { it.until } ?: 0

    /** Only these engines run the last layer, so their steps are the tokens computed. */
    private val lastStages =
        file.engines.filter { it.service == service && it.until == layers }.map { it.id }

    /** Tokens that left a last stage so far. */
    val tokensComputed: Long
        get() = counters.filterKeys { it.first in lastStages }.values.sumOf { it.steps }

    /** Mean share of the machine's processors that was in use, 0 to 1. */
    val cpuShare: Double get() = if (cpuShares.isEmpty()) 0.0 else cpuShares.average()

    /** Mean bound in tokens per second. */
    val bound: Double get() = if (bounds.isEmpty()) 0.0 else bounds.average()

    /** Polls in the background until the job is cancelled. */
    fun start(scope: CoroutineScope): Job = scope.launch(Dispatchers.IO) {
        while (isActive) {
            poll()
            delay(POLL_MILLIS)
        }
    }

    /** Reads all counters and the bound once. */
    fun poll() {
        machine.cpuLoad.takeIf { it > 0 }?.let { cpuShares += it }
        for (e in file.engines) if (e.service == service) readCounters(e.id)
        val instance = fleet.instances.firstOrNull { fleet.process(it).isAlive } ?: return
        fleet.statusOrNull(instance)?.services?.firstOrNull { it.name.value == service }
            ?.let { bounds += it.boundTokensPerSecond }
    }

    /** Counters of each engine and process at the last poll, with the time of this call. */
    fun engines(): EngineSample = EngineSample(System.nanoTime(), counters.toMap())

    private fun readCounters(engine: String) {
        val p = fleet.process(engine)
        if (!p.isAlive) return
        val n = try {
            val body = fleet.get("http://${p.address}/counters", LIMIT).body()
            json.decodeFromString<EngineCounters>(body)
        } catch (e: java.io.IOException) {
            return
        }
        counters[engine to p.pid] = n
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val POLL_MILLIS = 500L

        /** A frozen engine does not hold up the polls of the others for longer. */
        val LIMIT: Duration = Duration.ofMillis(300)
    }
}
