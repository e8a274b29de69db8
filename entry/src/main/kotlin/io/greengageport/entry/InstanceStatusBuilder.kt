package io.greengageport.entry

import io.greengageport.common.Members
import io.greengageport.common.RunnerId
import io.greengageport.common.SystemClock
import io.greengageport.ledger.OrderLedger
import io.greengageport.routing.FleetBound
import io.greengageport.settings.SettingsStore

/** Builds the status of an instance from its components. */
internal class InstanceStatusBuilder(
    private val config: InstanceConfig,
    private val store: SettingsStore,
    private val members: Members,
    private val backends: BackendFleet,
    private val admissions: Admissions,
    private val ledger: OrderLedger
) {
    /** Returns the current status; [stateOf] gives the state of a runner as text. */
    fun build(
        draining: Boolean,
        inFlight: Int,
        adminAddresses: Map<String, String>,
        isPlacementHolder: Boolean,
        stateOf: (RunnerId) -> String
    ): InstanceStatus {
        val reasons = buildList {
            if (draining) add("draining")
            if (!store.isReady.value) add("settings unknown")
            if (!backends.isListingKnown) add("instance list unknown")
        }
        return InstanceStatus(
            instance = config.instance,
            dataCentre = config.dataCentre,
            ready = reasons.isEmpty(),
            notReadyBecause = reasons,
            draining = draining,
            requestsInFlight = inFlight,
            settings = settings(),
            members = members.live().map {
                MemberStatus(
                    it.id,
                    it.peerAddress,
                    adminAddresses[it.id.value].orEmpty(),
                    it.dataCentre,
                    it.isLeaving
                )
            },
            runners = runners(stateOf),
            services = services(),
            ledger = ledger.status().let {
                LedgerState(
                    it.isReady,
                    it.keyCount,
                    it.openClaims,
                    it.queuedRecords,
                    it.retryDelayMillis
                )
            },
            isPlacementHolder = isPlacementHolder
        )
    }

    private fun settings(): SettingsStatus {
        val freshness = store.freshness()
        val v = store.view.value
        return SettingsStatus(
            v.version,
            v.hash.toString(),
            freshness.isCurrent,
            freshness.secondsSinceProof
        )
    }

    private fun runners(stateOf: (RunnerId) -> String) = backends.listedRunners().map { listed ->
        val runner = backends.fleet.runner(listed.id)
        val load = runner?.let {
            backends.loads.load(listed.id, it.tokensPerSecond, SystemClock.wallMillis())
        }
        RunnerStatus(
            id = listed.id,
            service = listed.service,
            address = listed.address,
            dataCentre = listed.dataCentre,
            layers = (runner?.layers ?: listed.layers)?.toString().orEmpty(),
            state = stateOf(listed.id),
            queuedTokens = load?.queuedTokens ?: 0.0,
            tokensPerSecond = load?.tokensPerSecond ?: 0.0
        )
    }

    private fun services(): List<ServiceStatus> {
        val states = admissions.states()
        return store.view.value.services.map { s ->
            val a = states[s.name.value]
            val fleet = backends.fleet.service(s.name)
            ServiceStatus(
                name = s.name,
                queued = a?.queued ?: 0,
                inFlight = a?.inFlight ?: 0,
                slots = a?.slots ?: 0,
                boundTokensPerSecond =
                    FleetBound.of(fleet, backends.outliers.ejectedRunners()).tokensPerSecond
            )
        }
    }
}
