package io.greengageport.limits

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName

/**
 * Divides the limits of organisations among the instances that report demand for them.
 *
 * Shares are max-min fair by demand. The aggregator keeps the shares that it granted, and a new or
 * larger share comes only from the unallocated part. The shares in force therefore never add up to
 * more than the limit, even before an instance has received its reduced share. The class reads no
 * clock, does no I/O and is not thread-safe.
 *
 * *Error bound.* Half of the equal share of each silent instance is reserved. Some instances use
 * their whole equal share without a share from the aggregator, because they started within the last
 * period or cannot reach the aggregator. If `s` is the fraction of such instances, the total
 * exceeds the limit by at most `s * (1 - silentReserve)`, which is less than 50%. The excess lasts
 * for one period and one round trip, or while unreachable instances are in the membership view. A
 * concurrency limit below the number of instances is exceeded by up to one request per instance,
 * because each instance can always run one.
 */
public class UsageAggregator(
    private val policyOf: (OrganisationName) -> OrganisationPolicy?,
    private val sharing: UsageSharing = UsageSharing()
) {
    private val accounts = HashMap<OrganisationName, Account>()

    /** Number of organisations with a valid share. */
    public val size: Int get() = accounts.size

    /** Handles a report of instance [from]; [live] are the instances in the membership view. */
    public fun onReport(
        from: InstanceId,
        report: UsageReport,
        live: Set<InstanceId>,
        nowMillis: Long
    ): UsageReply = UsageReply(
        report.usage.mapNotNull { usage ->
            policyOf(usage.organisation)?.let { updateShare(from, usage, it, live, nowMillis) }
        }
    )

    /** Removes shares that are no longer valid. */
    public fun expire(nowMillis: Long) {
        for (a in accounts.values) a.grants.values.removeIf { it.validUntilMillis <= nowMillis }
        accounts.values.removeIf { it.grants.isEmpty() }
    }

    /** Records the demand in [usage] and computes the new share of instance [from]. */
    private fun updateShare(
        from: InstanceId,
        usage: OrganisationUsage,
        policy: OrganisationPolicy,
        live: Set<InstanceId>,
        nowMillis: Long
    ): OrganisationShare {
        val validMillis = sharing.validMillis(live.size)
        val account = accounts.getOrPut(usage.organisation) { Account(nowMillis + validMillis) }
        account.grants.values.removeIf { it.validUntilMillis <= nowMillis }
        account.grants.keys.removeIf { it !in live && it != from }
        val own = account.grants.getOrPut(from) { Grant() }
        own.validUntilMillis = nowMillis + validMillis
        own.tokens.demand = usage.tokensPerSecond.toDouble()
        own.concurrent.demand = usage.concurrent.toDouble()
        val isNewAggregator = nowMillis < account.equalShareUntilMillis
        policy.tokensPerSecond?.let {
            allocate(it, account, own, Grant::tokens, live.size, isNewAggregator)
        }
        policy.maxConcurrentRequests?.let {
            allocate(it.toDouble(), account, own, Grant::concurrent, live.size, isNewAggregator)
        }
        return OrganisationShare(
            organisation = usage.organisation,
            fleetTokensPerSecond = account.grants.values.sumOf { it.tokens.demand }.toFloat(),
            tokensPerSecond = roundDown(own.tokens.granted),
            concurrent = own.concurrent.granted.toInt()
        )
    }

    /**
     * Sets the grant of [own] for one [resource] to its max-min fair share of [limit], at most the
     * part that other instances were not granted.
     */
    private fun allocate(
        limit: Double,
        account: Account,
        own: Grant,
        resource: (Grant) -> Allocation,
        live: Int,
        isNewAggregator: Boolean
    ) {
        val grants = account.grants.values.toList()
        val instances = maxOf(live, grants.size)
        val equalShare = limit / instances
        val pool = limit - (instances - grants.size) * equalShare * sharing.silentReserve
        val targets = maxMinShares(pool, grants.map { resource(it).demand })
        val granted = grants.sumOf { if (it === own) 0.0 else resource(it).granted }
        val unallocated = maxOf(0.0, pool - granted)
        // Shares granted by the previous aggregator may still be valid, so a new aggregator grants
        // at most the equal share.
        val cap = if (isNewAggregator) equalShare else limit
        resource(own).granted = minOf(targets[grants.indexOf(own)], unallocated, cap)
    }

    /** Grants of one organisation; at first, no grant is above the equal share. */
    private class Account(val equalShareUntilMillis: Long) {
        val grants = LinkedHashMap<InstanceId, Grant>()
    }

    private class Grant {
        val tokens = Allocation()
        val concurrent = Allocation()
        var validUntilMillis = 0L
    }

    /** Demand for one limited resource, and the amount granted. */
    private class Allocation {
        var demand = 0.0
        var granted = 0.0
    }

    private companion object {
        /** The largest float that is not above [value]. */
        fun roundDown(value: Double): Float {
            val nearest = value.toFloat()
            return if (nearest > value) Math.nextDown(nearest) else nearest
        }
    }
}
