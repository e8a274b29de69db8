package io.greengageport.limits

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName

/**
 * Divides the limits of organisations among the instances that report use of them.
 *
 * Shares are max-min fair by demand. The aggregator remembers the shares it has given, and a new or
 * larger share comes only from what is not given away, so that the shares in force never add up to
 * more than the limit while an instance has yet to learn of its smaller one. The class is pure and
 * not thread-safe.
 *
 * *Error bound.* The equal shares of silent instances are half reserved. If the fraction `s` of the
 * instances uses its whole equal share without a share from the aggregator, because it started
 * within the last period or does not reach the aggregator, the sum exceeds the limit by at most
 * `s * (1 - silentReserve)`, that is by less than 50%, for one period and one round trip, or for as
 * long as those instances are in the membership view and cut off. A concurrency limit below the
 * number of instances is exceeded by up to one request per instance, since each may run one.
 */
public class UsageAggregator(
    private val policyOf: (OrganisationName) -> OrganisationPolicy?,
    private val sharing: UsageSharing = UsageSharing()
) {
    private val accounts = HashMap<OrganisationName, Account>()

    /** Number of organisations with a share in force. */
    public val size: Int get() = accounts.size

    /** Handles the report of instance [from], with [live] instances in the membership view. */
    public fun onReport(
        from: InstanceId,
        report: UsageReport,
        live: Set<InstanceId>,
        nowMillis: Long
    ): UsageReply = UsageReply(
        report.usage.mapNotNull { usage ->
            policyOf(usage.organisation)?.let { share(from, usage, it, live, nowMillis) }
        }
    )

    /** Forgets shares that are no longer in force. */
    public fun expire(nowMillis: Long) {
        for (a in accounts.values) a.grants.values.removeIf { it.until <= nowMillis }
        accounts.values.removeIf { it.grants.isEmpty() }
    }

    private fun share(
        from: InstanceId,
        usage: OrganisationUsage,
        policy: OrganisationPolicy,
        live: Set<InstanceId>,
        now: Long
    ): OrganisationShare {
        val valid = sharing.validMillis(live.size)
        val account = accounts.getOrPut(usage.organisation) { Account(now + valid) }
        account.grants.values.removeIf { it.until <= now }
        account.grants.keys.removeIf { it !in live && it != from }
        val own = account.grants.getOrPut(from) { Grant() }
        own.until = now + valid
        own.tokens.demand = usage.tokensPerSecond.toDouble()
        own.concurrent.demand = usage.concurrent.toDouble()
        val isNew = now < account.warmUntil
        policy.tokensPerSecond?.let { give(it, account, own, Grant::tokens, live.size, isNew) }
        policy.concurrent?.let {
            give(it.toDouble(), account, own, Grant::concurrent, live.size, isNew)
        }
        return OrganisationShare(
            organisation = usage.organisation,
            fleetTokensPerSecond = account.grants.values.sumOf { it.tokens.demand }.toFloat(),
            tokensPerSecond = roundDown(own.tokens.given),
            concurrent = own.concurrent.given.toInt()
        )
    }

    private fun give(
        limit: Double,
        account: Account,
        own: Grant,
        resource: (Grant) -> Part,
        live: Int,
        isNew: Boolean
    ) {
        val grants = account.grants.values.toList()
        val instances = maxOf(live, grants.size)
        val equal = limit / instances
        val pool = limit - (instances - grants.size) * equal * sharing.silentReserve
        val targets = maxMinShares(pool, grants.map { resource(it).demand })
        val given = grants.sumOf { if (it === own) 0.0 else resource(it).given }
        val free = maxOf(0.0, pool - given)
        // A predecessor's shares may still be in force, so a new aggregator stays at equal shares.
        val cap = if (isNew) equal else limit
        resource(own).given = minOf(targets[grants.indexOf(own)], free, cap)
    }

    private class Account(val warmUntil: Long) {
        val grants = LinkedHashMap<InstanceId, Grant>()
    }

    private class Grant {
        val tokens = Part()
        val concurrent = Part()
        var until = 0L
    }

    private class Part {
        var demand = 0.0
        var given = 0.0
    }

    private companion object {
        fun roundDown(value: Double): Float {
            val nearest = value.toFloat()
            return if (nearest > value) Math.nextDown(nearest) else nearest
        }
    }
}
