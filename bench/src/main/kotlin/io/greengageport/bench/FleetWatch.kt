package io.greengageport.bench

import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

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
    private val steps = ConcurrentHashMap<Pair<String, Long>, Long>()
    private val bounds = java.util.concurrent.ConcurrentLinkedQueue<Double>()
    private val layers = file.engines.filter { it.service == service }.maxOfOrNull { it.until } ?: 0

    /** Only these engines run the last layer, so their steps are the tokens computed. */
    private val lastStages = file.engines.filter { it.service == service && it.until == layers }

    /** Tokens that left a last stage so far. */
    val tokensComputed: Long get() = steps.values.sum()

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
        for (e in lastStages) readSteps(e.id)
        val instance = fleet.instances.firstOrNull { fleet.process(it).isAlive } ?: return
        fleet.statusOrNull(instance)?.services?.firstOrNull { it.name.value == service }
            ?.let { bounds += it.boundTokensPerSecond }
    }

    private fun readSteps(engine: String) {
        val p = fleet.process(engine)
        if (!p.isAlive) return
        val n = try {
            val body = fleet.get("http://${p.address}/counters", LIMIT).body()
            Json.parseToJsonElement(body).jsonObject["steps"]?.jsonPrimitive?.long ?: return
        } catch (e: java.io.IOException) {
            return
        }
        steps.merge(engine to p.pid, n, ::maxOf)
    }

    private companion object {
        const val POLL_MILLIS = 500L

        /** A frozen engine does not hold up the polls of the others for longer. */
        val LIMIT: Duration = Duration.ofMillis(300)
    }
}
