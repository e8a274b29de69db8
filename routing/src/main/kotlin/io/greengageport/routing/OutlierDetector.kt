package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId

/**
 * Ejects runners that return errors, stop responding or are slow compared with their peers.
 *
 * The request path reports outcomes; [evaluate] applies the rules to one service. The peers of a
 * runner are the runners of the service that share a layer with it; latencies are compared per
 * layer. An ejected runner is probed after its ejection time and returns after a few successful
 * probes. Each further ejection lasts longer. Thread-safe.
 *
 * ```
 * detector.recordFailure(id)
 * detector.evaluate(fleet.service(service)).forEach { log(it.logLine()) }
 * val request = RoutingRequest(..., excluded = detector.ejectedRunners())
 * ```
 */
public class OutlierDetector(
    private val clock: Clock,
    private val rules: OutlierRules = OutlierRules()
) {
    private val records = HashMap<RunnerId, OutlierRecord>()

    @Volatile
    private var ejectedRunners: Set<RunnerId> = emptySet()

    /** Returns the runners that get no new work: those ejected and those on probation. */
    public fun ejectedRunners(): Set<RunnerId> = ejectedRunners

    /** Records an answer that took [latencyMillis] for the whole layer range of the runner. */
    @Synchronized
    public fun recordSuccess(runner: RunnerId, latencyMillis: Double) {
        record(runner).recordSuccess(latencyMillis, rules.latencyWeight)
    }

    /** Records an error of the runner. */
    @Synchronized
    public fun recordFailure(runner: RunnerId) {
        val record = record(runner)
        record.consecutiveErrors++
        record.lastFailureMillis = clock.monotonicMillis()
    }

    /** Records that the runner has requests in flight but sent nothing within its timeout. */
    @Synchronized
    public fun recordTimeout(runner: RunnerId) {
        val record = record(runner)
        record.isSilent = true
        record.lastFailureMillis = clock.monotonicMillis()
    }

    /** Returns the ejected runners whose ejection time is over; the caller must probe each. */
    @Synchronized
    public fun runnersToProbe(): List<RunnerId> = records.entries
        .filter { it.value.state == RunnerState.PROBATION }.map { it.key }.sorted()

    /**
     * Records the outcome of a probe of a runner on probation. A failed probe ejects the runner
     * again for longer. Returns the resulting change, or null if there is none.
     */
    @Synchronized
    public fun recordProbe(runner: RunnerId, answered: Boolean): OutlierEvent? {
        val record = records[runner] ?: return null
        if (record.state != RunnerState.PROBATION) return null
        val event = when {
            !answered -> eject(runner, record, EjectionReason.ProbeFailed)
            ++record.probes < rules.probesToReturn -> null
            else -> readmit(runner, record)
        }
        updateEjectedRunners()
        return event
    }

    /**
     * Discards errors, timeouts and ejections recorded since [sinceMillis] of the monotonic clock,
     * because the observer itself had failed. A runner that was ejected before and failed a probe
     * since then is probed again at once. Returns the runners concerned.
     */
    @Synchronized
    public fun withdrawSince(sinceMillis: Long): Set<RunnerId> {
        val withdrawn = records.filterValues { it.lastFailureMillis >= sinceMillis }
        withdrawn.values.forEach { it.withdrawSince(sinceMillis) }
        updateEjectedRunners()
        return withdrawn.keys
    }

    /** Applies the rules to the runners of [fleet] and returns the changes. */
    @Synchronized
    public fun evaluate(fleet: ServiceFleet): List<OutlierEvent> {
        val events = ArrayList<OutlierEvent>()
        fleet.runners.mapNotNullTo(events) { updateState(it.id) }
        val cap = EjectionCap(fleet, rules) { records[it]?.state ?: RunnerState.HEALTHY }
        for ((runner, reason) in findOutliers(fleet)) {
            val record = record(runner.id)
            if (cap.tryEject(runner)) {
                events += eject(runner.id, record, reason)
            } else {
                events += OutlierEvent.Spared(runner.id, reason)
                record.resetObservations()
            }
        }
        updateEjectedRunners()
        return events
    }

    /** Removes the record of a runner that left the fleet. */
    @Synchronized
    public fun forget(runner: RunnerId) {
        records.remove(runner)
        updateEjectedRunners()
    }

    private fun record(runner: RunnerId) = records.getOrPut(runner) { OutlierRecord() }

    /** Starts probation after an ejection, or resets the duration of the next ejection. */
    private fun updateState(runner: RunnerId): OutlierEvent? {
        val record = records[runner] ?: return null
        val now = clock.monotonicMillis()
        if (record.state == RunnerState.EJECTED && now >= record.untilMillis) {
            record.state = RunnerState.PROBATION
            record.probes = 0
            return OutlierEvent.ProbationStarted(runner)
        }
        val healthyMillis = now - record.untilMillis
        if (record.state == RunnerState.HEALTHY && healthyMillis >= rules.ejectionResetMillis) {
            record.ejections = 0
        }
        return null
    }

    /** Healthy runners that break a rule, in descending order of severity. */
    private fun findOutliers(fleet: ServiceFleet): List<Pair<Runner, EjectionReason>> {
        val healthy = fleet.runners.filter {
            records[it.id]?.state == RunnerState.HEALTHY
        }
        val latencies = healthy.mapNotNull { runner ->
            val record = record(runner.id)
            if (record.samples < rules.minSamples) return@mapNotNull null
            runner to record.latencyMillis / (runner.layers?.size ?: 1)
        }
        return healthy.mapNotNull { runner ->
            ejectionReason(runner, latencies)?.let { runner to it }
        }.sortedWith(
            compareByDescending<Pair<Runner, EjectionReason>> { it.second.severity }
                .thenBy { it.first.id }
        )
    }

    private fun ejectionReason(
        runner: Runner,
        latencies: List<Pair<Runner, Double>>
    ): EjectionReason? {
        val record = record(runner.id)
        if (record.isSilent) return EjectionReason.Silent
        if (record.consecutiveErrors >= rules.consecutiveErrors) {
            return EjectionReason.Errors(record.consecutiveErrors)
        }
        val own = latencies.firstOrNull { it.first.id == runner.id }?.second ?: return null
        val peers = latencies.filter { it.first.id != runner.id && sharesLayer(it.first, runner) }
        if (peers.size < rules.minPeers) return null
        val ratio = own / median(peers.map { it.second })
        return if (ratio > rules.latencyFactor) EjectionReason.Slow(ratio) else null
    }

    private fun sharesLayer(a: Runner, b: Runner): Boolean {
        val (left, right) = (a.layers ?: return true) to (b.layers ?: return true)
        return left.from < right.until && right.from < left.until
    }

    private fun eject(
        runner: RunnerId,
        record: OutlierRecord,
        reason: EjectionReason
    ): OutlierEvent {
        val doublings = minOf(record.ejections, MAX_DOUBLINGS)
        val durationMillis = minOf(rules.ejectionMillis shl doublings, rules.maxEjectionMillis)
        val now = clock.monotonicMillis()
        if (record.state == RunnerState.HEALTHY) record.ejectedAtMillis = now
        record.lastEjectionMillis = now
        record.lastFailureMillis = now
        record.ejections++
        record.state = RunnerState.EJECTED
        record.untilMillis = now + durationMillis
        record.resetObservations()
        return OutlierEvent.Ejected(runner, reason, durationMillis)
    }

    private fun readmit(runner: RunnerId, record: OutlierRecord): OutlierEvent {
        record.state = RunnerState.HEALTHY
        record.untilMillis = clock.monotonicMillis()
        record.resetObservations()
        return OutlierEvent.Returned(runner)
    }

    private fun updateEjectedRunners() {
        ejectedRunners = records.filterValues { it.state != RunnerState.HEALTHY }.keys.toSet()
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}

internal fun median(values: List<Double>): Double {
    val sorted = values.sorted()
    val middle = sorted.size / 2
    return if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
}

private class OutlierRecord {
    var state = RunnerState.HEALTHY
    var consecutiveErrors = 0
    var isSilent = false

    /** Moving average of the time per answer, for the whole layer range. */
    var latencyMillis = 0.0
    var samples = 0

    /** Number of ejections that lengthen the next one. */
    var ejections = 0

    /** End of the ejection, or the time of the return if the runner is healthy. */
    var untilMillis = 0L
    var probes = 0

    /** Time of the last error, timeout or ejection. */
    var lastFailureMillis = Long.MIN_VALUE

    /** Time of the last ejection of a healthy runner, and of the last ejection of all. */
    var ejectedAtMillis = Long.MIN_VALUE
    var lastEjectionMillis = Long.MIN_VALUE

    fun recordSuccess(latency: Double, weight: Double) {
        consecutiveErrors = 0
        isSilent = false
        latencyMillis =
            if (samples == 0) latency else latencyMillis + weight * (latency - latencyMillis)
        samples++
    }

    fun withdrawSince(sinceMillis: Long) {
        consecutiveErrors = 0
        isSilent = false
        if (state == RunnerState.HEALTHY || lastEjectionMillis < sinceMillis) return
        ejections--
        probes = 0
        state = if (ejectedAtMillis >= sinceMillis) RunnerState.HEALTHY else RunnerState.PROBATION
    }

    fun resetObservations() {
        consecutiveErrors = 0
        isSilent = false
        samples = 0
        latencyMillis = 0.0
    }
}
