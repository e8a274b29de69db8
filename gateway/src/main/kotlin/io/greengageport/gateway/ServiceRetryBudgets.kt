package io.greengageport.gateway

import io.greengageport.common.Clock
import io.greengageport.common.ServiceName
import io.greengageport.gateway.peer.PeerView
import io.greengageport.gateway.peer.RetryUse
import io.greengageport.routing.Backoff
import io.greengageport.routing.FleetRetries
import io.greengageport.routing.RetryBudget
import io.greengageport.routing.RetryUsage
import kotlin.random.Random

/** The retry budget of each service, which all instances share by the reports of [peers]. */
internal class ServiceRetryBudgets(
    private val settings: GatewaySettings,
    private val peers: PeerView,
    private val clock: Clock
) {
    private val budgets = HashMap<ServiceName, RetryBudget>()

    /** Returns the budget of [service]. */
    fun of(service: ServiceName): RetryBudget = budgets.getOrPut(service) {
        RetryBudget(
            clock = clock,
            random = Random.Default,
            share = settings.retryShare,
            fleet = {
                FleetRetries(
                    instances = peers.liveInstanceCount,
                    allowance = settings.retryAllowance * ALLOWANCE_SHARE,
                    others = peers.retries(service) ?: RetryUsage.NONE
                )
            },
            backoff = Backoff(RETRY_BASE_MILLIS, RETRY_MAX_MILLIS)
        )
    }

    /** Returns what this instance has used and earned by service, for its report to the peers. */
    fun usage(): Map<String, RetryUse> = budgets.entries.associate { (service, budget) ->
        service.value to budget.usage().let { RetryUse(it.used, it.earned) }
    }

    private companion object {
        /**
         * Share of the fleet's allowance that is used; the rest is a margin for instances that join
         * or leave.
         */
        const val ALLOWANCE_SHARE = 0.6
        const val RETRY_BASE_MILLIS = 10L
        const val RETRY_MAX_MILLIS = 40L
    }
}
