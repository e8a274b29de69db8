package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import kotlinx.serialization.Serializable

/** Asks for [runners] on behalf of a marked request, of which no other may run on them. */
@Serializable
public data class ReservationRequest(
    val request: RequestId,
    val fingerprint: Fingerprint,
    val runners: Set<RunnerId>
)

/** Whether a marked request may run now; if not, [busy] are the runners that it has to avoid. */
@Serializable
public data class ReservationReply(val granted: Boolean, val busy: Set<RunnerId> = emptySet())

/**
 * The runners on which the instances run marked requests, kept by the one instance that owns the
 * reservations of a service.
 *
 * A runner has at most one marked request, and a fingerprint runs once at a time, so that a crash
 * shows which request caused it. The state is a protection and needs no agreement: if two instances
 * both take themselves for the owner, one more runner may crash. A reservation ends by [release],
 * when its instance is gone, or after [LIFETIME_MILLIS], which is longer than a prefill.
 *
 * ```
 * val reply = reservations.reserve(holder, ReservationRequest(id, fingerprint, chain), live)
 * if (!reply.granted) planAgain(avoided = reply.busy)
 * ```
 */
public class MarkedReservations(private val clock: Clock) {
    private class Held(val by: InstanceId, val what: ReservationRequest, val untilMillis: Long)

    private val held = LinkedHashMap<RequestId, Held>()

    /** Number of reservations held. */
    @Synchronized
    public fun size(): Int = held.size

    /** Grants [what] to [holder] unless another reservation of a [live] instance is in its way. */
    @Synchronized
    public fun reserve(
        holder: InstanceId,
        what: ReservationRequest,
        live: Set<InstanceId>
    ): ReservationReply {
        val now = clock.monotonicMillis()
        held.values.removeIf { it.by !in live || it.untilMillis <= now }
        val others = held.values.filter { it.what.request != what.request }.map { it.what }
        val busy = others.flatMapTo(LinkedHashSet()) { it.runners }
        val isRunning = others.any { it.fingerprint == what.fingerprint }
        if (isRunning || what.runners.any { it in busy }) return ReservationReply(false, busy)
        held[what.request] = Held(holder, what, now + LIFETIME_MILLIS)
        return ReservationReply(granted = true)
    }

    /** Ends the reservation of [request], if [holder] has it. */
    @Synchronized
    public fun release(holder: InstanceId, request: RequestId) {
        if (held[request]?.by == holder) held.remove(request)
    }

    public companion object {
        public const val LIFETIME_MILLIS: Long = 30_000
    }
}
