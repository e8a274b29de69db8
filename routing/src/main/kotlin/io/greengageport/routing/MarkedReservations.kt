package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import kotlinx.serialization.Serializable

/** Requests exclusive use of [runners], among marked requests, for a marked request. */
@Serializable
public data class ReservationRequest(
    val request: RequestId,
    val fingerprint: Fingerprint,
    val runners: Set<RunnerId>
)

/** Whether a marked request can run now; if not, [busy] holds the runners to avoid. */
@Serializable
public data class ReservationReply(val granted: Boolean, val busy: Set<RunnerId> = emptySet())

/**
 * Reservations of runners for marked requests, held by the one instance that owns the reservations
 * of a service.
 *
 * A runner has at most one marked request, and each fingerprint runs at most once at a time, so
 * that a crash identifies the request that caused it. The state needs no consensus: if two
 * instances both consider themselves the owner, the worst case is that one more runner crashes. A
 * reservation ends with [release], when its instance is no longer live, or after [LIFETIME_MILLIS],
 * which is longer than a prefill.
 *
 * ```
 * val reply = reservations.reserve(holder, ReservationRequest(id, fingerprint, chain), live)
 * if (!reply.granted) planAgain(avoided = reply.busy)
 * ```
 */
public class MarkedReservations(private val clock: Clock) {
    private class Held(val by: InstanceId, val what: ReservationRequest, val untilMillis: Long)

    private val held = LinkedHashMap<RequestId, Held>()

    /** Number of reservations, including expired ones not yet removed. */
    @Synchronized
    public fun size(): Int = held.size

    /**
     * Grants [what] to [holder], unless another reservation of a [live] instance has one of its
     * runners or the same fingerprint. Removes expired reservations.
     */
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

    /** Ends the reservation for [request] if [holder] owns it. */
    @Synchronized
    public fun release(holder: InstanceId, request: RequestId) {
        if (held[request]?.by == holder) held.remove(request)
    }

    public companion object {
        public const val LIFETIME_MILLIS: Long = 30_000
    }
}
