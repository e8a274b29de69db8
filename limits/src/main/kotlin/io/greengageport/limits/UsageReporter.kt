package io.greengageport.limits

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import java.util.concurrent.ConcurrentHashMap

/**
 * The side of usage sharing that each instance runs: it reports demand to aggregators and keeps the
 * shares they reply.
 *
 * An organisation is reported when its local demand exceeds half of an equal share: at once when it
 * first does, then once per period. If more organisations are due than the bound allows, those with
 * the largest demand relative to their equal share come first; the others keep the equal share.
 * Without a valid reply, or after the aggregator changed, the equal share applies.
 *
 * [report] and [onReply] are called by one coroutine; [shareOf] may be called by any thread.
 *
 * ```
 * for ((peer, report) in reporter.report(limits.takeDemand(), live, now)) {
 *     send(peer, report).onSuccess { reporter.onReply(peer, it, sentAt = now) }
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

    /** Takes the demand of the last second and returns the reports to send now, by aggregator. */
    public fun report(
        usage: Collection<OrganisationUsage>,
        live: Collection<InstanceId>,
        nowMillis: Long
    ): Map<InstanceId, UsageReport> {
        updateView(live)
        grants.values.removeIf { !isValid(it, nowMillis) }
        for (d in demands.values) d.decay()
        for (u in usage) {
            val policy = policyOf(u.organisation) ?: continue
            // Demand above the limit has no meaning and would take longer to decay.
            val limit = policy.tokensPerSecond ?: Double.MAX_VALUE
            demands.getOrPut(u.organisation, ::Demand).add(u, limit)
        }
        demands.values.removeIf { it.tokens < NEGLIGIBLE_TOKENS && it.concurrent == 0 }
        val due = demands.entries.mapNotNull { (name, d) -> dueReport(name, d, nowMillis) }
            .sortedWith(compareByDescending<Due> { it.excess }.thenBy { it.name.value })
            .take(sharing.maxReportsPerSecond)
        for (d in due) d.demand.reportedAt = nowMillis
        return due.groupBy({
            view.owner(it.name)
        }, { it.usage() }).mapValues { UsageReport(it.value) }
    }

    /** Sets the live instances, for the equal share before the first [report]. */
    public fun updateView(live: Collection<InstanceId>) {
        val members = live.toSet() + self
        if (members != view.members) view = View(members)
    }

    /** The instance that divides the limits of [organisation] among the live ones. */
    public fun aggregatorOf(organisation: OrganisationName): InstanceId = view.owner(organisation)

    /** Takes the reply of [from] to the report sent at [sentAtMillis]. */
    public fun onReply(from: InstanceId, reply: UsageReply, sentAtMillis: Long) {
        val until = sentAtMillis + sharing.validMillis(view.size)
        for (s in reply.shares) grants[s.organisation] = Grant(s, from, until)
    }

    /** The local limits of an organisation: its share, or the equal share without one. */
    public fun shareOf(
        organisation: OrganisationName,
        policy: OrganisationPolicy,
        nowMillis: Long
    ): OrganisationPolicy {
        val grant = grants[organisation]?.takeIf { isValid(it, nowMillis) }
        val live = view.size
        val concurrent = grant?.share?.concurrent ?: policy.concurrent?.div(live)
        return policy.copy(
            tokensPerSecond = policy.tokensPerSecond?.let {
                grant?.share?.tokensPerSecond?.toDouble() ?: (it / live)
            },
            // A limit below the number of instances would otherwise lock out most of them.
            concurrent = policy.concurrent?.let { maxOf(1, concurrent ?: 1) }
        )
    }

    private fun isValid(grant: Grant, now: Long): Boolean =
        now < grant.until && view.owner(grant.share.organisation) == grant.from

    private fun dueReport(name: OrganisationName, demand: Demand, now: Long): Due? {
        val policy = policyOf(name) ?: return null
        val live = view.size
        val tokens = policy.tokensPerSecond?.let { demand.tokens * live / it } ?: 0.0
        val requests = policy.concurrent?.let {
            // One request is always allowed, so a single one needs no share.
            if (demand.concurrent > 1) demand.concurrent * live / it.toDouble() else 0.0
        } ?: 0.0
        val excess = maxOf(tokens, requests)
        val periodMillis = sharing.periodSeconds(live) * MILLIS_PER_SECOND
        val isDue = demand.reportedAt?.let { now - it >= periodMillis } ?: true
        return if (excess > REPORT_ABOVE && isDue) Due(name, demand, excess) else null
    }

    private class View(val members: Set<InstanceId>) {
        private val rendezvous = Rendezvous(members)
        private val owners = ConcurrentHashMap<OrganisationName, InstanceId>()
        val size: Int get() = members.size

        fun owner(organisation: OrganisationName): InstanceId {
            if (owners.size > MAX_CACHED_OWNERS) owners.clear()
            return owners.getOrPut(organisation) { rendezvous.owner(organisation.value) }
        }
    }

    /** Smoothed demand: requests arrive in bursts, and shares should not follow each of them. */
    private class Demand {
        var tokens = 0.0
        var concurrent = 0
        var reportedAt: Long? = null

        fun decay() {
            tokens *= 1 - SMOOTHING
            concurrent = 0
        }

        fun add(usage: OrganisationUsage, limit: Double) {
            tokens += SMOOTHING * minOf(usage.tokensPerSecond.toDouble(), limit)
            concurrent = usage.concurrent
        }
    }

    private class Due(val name: OrganisationName, val demand: Demand, val excess: Double) {
        fun usage() = OrganisationUsage(name, demand.tokens.toFloat(), demand.concurrent)
    }

    private class Grant(val share: OrganisationShare, val from: InstanceId, val until: Long)

    private companion object {
        /** Part of an equal share above which an organisation is reported. */
        const val REPORT_ABOVE = 0.5
        const val SMOOTHING = 0.5
        const val NEGLIGIBLE_TOKENS = 0.5
        const val MAX_CACHED_OWNERS = 20_000
    }
}
