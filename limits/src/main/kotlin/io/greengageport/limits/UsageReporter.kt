package io.greengageport.limits

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import java.util.concurrent.ConcurrentHashMap

/**
 * The client side of usage sharing: reports local demand to the aggregators and keeps the shares
 * that they grant.
 *
 * An organisation is reported while its local demand exceeds half of an equal share: immediately
 * the first time, then once per period. If more reports are due than
 * [UsageSharing.maxReportsPerSecond], the organisations with the largest demand relative to their
 * equal share are reported and the others keep the equal share. The equal share also applies
 * without a valid reply and after the aggregator changed.
 *
 * [report] and [onReply] must be called from one coroutine; [localLimits] is thread-safe.
 *
 * ```
 * for ((peer, report) in reporter.report(limits.takeDemand(), live, now)) {
 *     send(peer, report).onSuccess { reporter.onReply(peer, it, sentAtMillis = now) }
 * }
 * ```
 */
public class UsageReporter(
    private val self: InstanceId,
    private val policyOf: (OrganisationName) -> OrganisationPolicy?,
    private val sharing: UsageSharing = UsageSharing()
) {
    private val demands = HashMap<OrganisationName, Demand>()
    private val grants = ConcurrentHashMap<OrganisationName, Grant>()

    @Volatile
    private var view = View(setOf(self))

    /** Records the demand of the last second; returns the reports to send now, by aggregator. */
    public fun report(
        usage: Collection<OrganisationUsage>,
        live: Collection<InstanceId>,
        nowMillis: Long
    ): Map<InstanceId, UsageReport> {
        updateView(live)
        grants.values.removeIf { !isValid(it, nowMillis) }
        for (demand in demands.values) demand.decay()
        for (u in usage) {
            val policy = policyOf(u.organisation) ?: continue
            // Demand above the limit has no effect on the share but would take longer to decay.
            val limit = policy.tokensPerSecond ?: Double.MAX_VALUE
            demands.getOrPut(u.organisation, ::Demand).add(u, limit)
        }
        demands.values.removeIf { it.tokens < NEGLIGIBLE_TOKENS && it.concurrent == 0 }
        val due = demands.entries.mapNotNull { (name, d) -> dueReport(name, d, nowMillis) }
            .sortedWith(compareByDescending<DueReport> { it.ratio }.thenBy { it.name.value })
            .take(sharing.maxReportsPerSecond)
        for (d in due) d.demand.reportedAtMillis = nowMillis
        return due.groupBy({
            view.owner(it.name)
        }, { it.usage() }).mapValues { UsageReport(it.value) }
    }

    /** Updates the live instances, which determine the aggregators and the equal share. */
    public fun updateView(live: Collection<InstanceId>) {
        val members = live.toSet() + self
        if (members != view.members) view = View(members)
    }

    /** The instance that divides the limits of [organisation] among the live instances. */
    public fun aggregatorOf(organisation: OrganisationName): InstanceId = view.owner(organisation)

    /** Applies the reply of [from] to the report sent at [sentAtMillis]. */
    public fun onReply(from: InstanceId, reply: UsageReply, sentAtMillis: Long) {
        val validUntilMillis = sentAtMillis + sharing.validMillis(view.size)
        for (s in reply.shares) grants[s.organisation] = Grant(s, from, validUntilMillis)
    }

    /** The local limits of [organisation]: the granted share, or else the equal share. */
    public fun localLimits(
        organisation: OrganisationName,
        policy: OrganisationPolicy,
        nowMillis: Long
    ): OrganisationPolicy {
        val grant = grants[organisation]?.takeIf { isValid(it, nowMillis) }
        val live = view.size
        val localLimit = grant?.share?.concurrent ?: policy.maxConcurrentRequests?.div(live)
        return policy.copy(
            tokensPerSecond = policy.tokensPerSecond?.let {
                grant?.share?.tokensPerSecond?.toDouble() ?: (it / live)
            },
            // Otherwise a limit below the number of instances would exclude most instances.
            maxConcurrentRequests = policy.maxConcurrentRequests?.let { maxOf(1, localLimit ?: 1) }
        )
    }

    private fun isValid(grant: Grant, nowMillis: Long): Boolean =
        nowMillis < grant.validUntilMillis && view.owner(grant.share.organisation) == grant.from

    /** The report for organisation [name], or null if none is due at [nowMillis]. */
    private fun dueReport(name: OrganisationName, demand: Demand, nowMillis: Long): DueReport? {
        val policy = policyOf(name) ?: return null
        val live = view.size
        val tokens = policy.tokensPerSecond?.let { demand.tokens * live / it } ?: 0.0
        val requests = policy.maxConcurrentRequests?.let {
            // Every instance can run one request, so a single request needs no share.
            if (demand.concurrent > 1) demand.concurrent * live / it.toDouble() else 0.0
        } ?: 0.0
        val ratio = maxOf(tokens, requests)
        val periodMillis = sharing.periodSeconds(live) * MILLIS_PER_SECOND
        val isDue = demand.reportedAtMillis?.let { nowMillis - it >= periodMillis } ?: true
        return if (ratio > MIN_REPORTED_RATIO && isDue) DueReport(name, demand, ratio) else null
    }

    /** A membership view with cached aggregators. */
    private class View(val members: Set<InstanceId>) {
        private val rendezvous = Rendezvous(members)
        private val owners = ConcurrentHashMap<OrganisationName, InstanceId>()
        val size: Int get() = members.size

        fun owner(organisation: OrganisationName): InstanceId {
            if (owners.size > MAX_CACHED_OWNERS) owners.clear()
            return owners.getOrPut(organisation) { rendezvous.owner(organisation.value) }
        }
    }

    /**
     * Local demand, in tokens/s and concurrent requests. The rate is smoothed so that shares do not
     * follow each burst of requests.
     */
    private class Demand {
        var tokens = 0.0
        var concurrent = 0
        var reportedAtMillis: Long? = null

        fun decay() {
            tokens *= 1 - SMOOTHING_FACTOR
            concurrent = 0
        }

        fun add(usage: OrganisationUsage, limit: Double) {
            tokens += SMOOTHING_FACTOR * minOf(usage.tokensPerSecond.toDouble(), limit)
            concurrent = usage.concurrent
        }
    }

    /** A report that is due; [ratio] is the demand relative to the equal share. */
    private class DueReport(val name: OrganisationName, val demand: Demand, val ratio: Double) {
        fun usage() = OrganisationUsage(name, demand.tokens.toFloat(), demand.concurrent)
    }

    private class Grant(
        val share: OrganisationShare,
        val from: InstanceId,
        val validUntilMillis: Long
    )

    private companion object {
        /** Fraction of an equal share above which an organisation is reported. */
        const val MIN_REPORTED_RATIO = 0.5
        const val SMOOTHING_FACTOR = 0.5
        const val NEGLIGIBLE_TOKENS = 0.5
        const val MAX_CACHED_OWNERS = 20_000
    }
}
