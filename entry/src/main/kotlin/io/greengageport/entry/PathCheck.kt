package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.ports.ListedRunner
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.tinylog.kotlin.Logger

/**
 * Finds out whether this instance has a network path to runners, to tell failures of runners from a
 * failure of its own network.
 *
 * ```
 * if (path.hasPath(failed = setOf(runner), sinceMillis)) recordCrash(runner)
 * ```
 */
internal class PathCheck(
    private val probe: RunnerProbe,
    private val listedRunners: () -> List<ListedRunner>,
    private val clock: Clock
) {
    private class Check(val startedAtMillis: Long, val hasPath: Boolean)

    private val mutex = Mutex()
    private var lastCheck: Check? = null

    /**
     * Whether a runner other than the [failed] ones has answered on a connection opened after
     * [sinceMillis] on the monotonic clock. Also returns true if there are fewer than
     * [MIN_CONTROLS] others, since these may well fail together. Concurrent calls share a check.
     */
    suspend fun hasPath(failed: Set<RunnerId>, sinceMillis: Long): Boolean = mutex.withLock {
        lastCheck?.takeIf { it.startedAtMillis > sinceMillis }?.let { return it.hasPath }
        val startedAtMillis = clock.monotonicMillis()
        val controls = selectControls(failed)
        val hasPath = controls.size < MIN_CONTROLS || answersAny(controls)
        if (!hasPath) {
            Logger.warn(
                "routing: no path to runners, none answered: ${controls.map {
                    it.id
                }}"
            )
        }
        lastCheck = Check(startedAtMillis, hasPath)
        hasPath
    }

    /** Up to [MAX_CONTROLS] runners of as many services and data centres as possible. */
    private fun selectControls(failed: Set<RunnerId>): List<ListedRunner> {
        val groups = listedRunners().filter { it.id !in failed }.shuffled()
            .groupBy { it.service to it.dataCentre }.values.shuffled()
        val rounds = groups.maxOfOrNull { it.size } ?: 0
        return (0 until rounds).asSequence()
            .flatMap { i -> groups.mapNotNull { it.getOrNull(i) } }
            .take(MAX_CONTROLS)
            .toList()
    }

    /** Probes all [controls] at the same time; returns at the first answer. */
    private suspend fun answersAny(controls: List<ListedRunner>): Boolean = coroutineScope {
        val results = Channel<Boolean>(controls.size)
        val probes = controls.map {
            launch { results.send(probe.probe(it.address) is ProbeResult.Answered) }
        }
        var hasAnswer = false
        for (i in controls.indices) {
            hasAnswer = results.receive()
            if (hasAnswer) break
        }
        probes.forEach { it.cancel() }
        hasAnswer
    }

    private companion object {
        const val MIN_CONTROLS = 2

        /** Runners of one rack or data centre may fail together, those of several rarely do. */
        const val MAX_CONTROLS = 4
    }
}
