package io.greengageport.bench

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Runs the timed events of an experiment on its fleet and restarts crashed engines. */
internal class EventRunner(
    private val fleet: LocalFleet,
    private val fleetFile: FleetFile,
    private val experiment: ExperimentFile,
    private val nowNanos: () -> Long
) {
    private val endedByEvent = ConcurrentHashMap.newKeySet<String>()
    private val crashCount = AtomicInteger()

    /** Descriptions of events that failed. */
    val problems: ConcurrentLinkedQueue<String> = ConcurrentLinkedQueue()

    /** Number of engine processes that ended without a kill or terminate event. */
    val enginesLost: Int get() = crashCount.get()

    /** Starts a job in [scope] that runs each event at its time. */
    fun start(scope: CoroutineScope): Job = scope.launch(Dispatchers.IO) {
        launch { superviseEngines() }
        for (e in experiment.events.sortedBy { it.atSeconds }) {
            launch {
                delay(((e.atSeconds * NANOS_PER_SECOND).toLong() - nowNanos()) / NANOS_PER_MILLI)
                try {
                    runEvent(e)
                } catch (x: java.io.IOException) {
                    problems += "$e failed: $x"
                } catch (x: IllegalStateException) {
                    problems += "$e failed: $x"
                }
            }
        }
    }

    private fun runEvent(e: TimedEvent) {
        e.kill?.let {
            endedByEvent += it
            fleet.process(it).kill()
        }
        e.terminate?.let {
            endedByEvent += it
            fleet.process(it).terminate()
        }
        e.freeze?.let { fleet.process(it).freeze() }
        e.thaw?.let { fleet.process(it).thaw() }
        e.restart?.let { restart(it) }
        e.control?.let { c -> c.on.forEach { fleet.sendControl(it, c.body) } }
        e.publish?.let { publish(it) }
    }

    private fun restart(name: String) {
        when {
            fleetFile.engines.any { it.id == name } -> fleet.startEngine(name)
            fleetFile.plain.any { it.id == name } -> fleet.startPlain(name)
            else -> fleet.startInstance(name)
        }
        endedByEvent -= name
    }

    private fun publish(p: PublishCall) {
        val through = fleet.instances.first { fleet.process(it).isAlive }
        val page = fleet.readSettingsPage(p.path, through)
        val r = fleet.publish(p.path, p.yaml, page.baseVersion, through)
        if (r.statusCode() != OK) problems += "publish ${p.path}: ${r.statusCode()} ${r.body()}"
    }

    private suspend fun superviseEngines() {
        val seenPids = ConcurrentHashMap.newKeySet<Long>()
        while (isScopeActive()) {
            for (e in fleetFile.engines) {
                val p = fleet.process(e.id)
                if (p.isAlive || e.id in endedByEvent || !seenPids.add(p.pid)) continue
                crashCount.incrementAndGet()
                val delayMillis = experiment.restartCrashedMillis ?: continue
                CoroutineScope(kotlin.coroutines.coroutineContext).launch {
                    delay(delayMillis)
                    restart(e.id)
                }
            }
            delay(SUPERVISION_INTERVAL_MILLIS)
        }
    }

    private suspend fun isScopeActive() = kotlin.coroutines.coroutineContext[Job]?.isActive ?: true

    private companion object {
        const val OK = 200
        const val SUPERVISION_INTERVAL_MILLIS = 50L
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
