package io.greengageport.gateway.forward

import io.greengageport.common.Clock
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.peer.ServerNotices
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.CrashSuspects
import io.greengageport.gateway.state.InFlightTable
import io.greengageport.gateway.state.ServerHealth
import io.greengageport.gateway.state.ServerPauses
import io.greengageport.gateway.state.StallDiagnosis
import io.greengageport.limits.RetryAfterJitter
import io.greengageport.routing.RetryBudget

/** The components of an instance that forwarding uses, shared by all requests. */
internal class ForwardingDependencies(
    val exchange: BackendExchange,
    val plainSelector: PlainSelector,
    val chainSelector: ServerSelector,
    val directory: BackendDirectory,
    val inFlight: InFlightTable,
    val admissionQueues: AdmissionQueues,
    val health: ServerHealth,
    val pauses: ServerPauses,
    val serverNotices: ServerNotices,
    val diagnosis: StallDiagnosis,
    val suspects: CrashSuspects,
    val retryBudget: (ServiceName) -> RetryBudget,
    val observer: ForwardObserver,
    val log: DecisionLog,
    val clock: Clock,
    /** Time on the monotonic clock, in ms, by which requests must have ended. */
    val answersUntilMillis: () -> Long = { Long.MAX_VALUE },
    /** Whether neither this instance nor a peer that accepts tunnels reaches servers. */
    val isWithoutServers: () -> Boolean = { false },
    /** Launches work that the request does not wait for. */
    val launchInBackground: (suspend () -> Unit) -> Unit
) {
    /** Adds jitter to the retry times of refused callers. */
    val retryAfterJitter = RetryAfterJitter()

    /** Memory for large responses: a sixth of the heap of an instance. */
    val responseMemory = ResponseMemory(RESPONSE_MEMORY_BYTES)

    /** Estimates over all requests. */
    val firstEventTimes = FirstEventTimes()

    private companion object {
        const val RESPONSE_MEMORY_BYTES = 16L * 1_024 * 1_024
    }
}
