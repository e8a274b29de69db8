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
    private class Grant(
        val holder: InstanceId,
        val reservation: ReservationRequest,
        val untilMillis: Long
    )

    private val grants = LinkedHashMap<RequestId, Grant>()

    /** Number of reservations, including expired ones not yet removed. */
    @Synchronized
    public fun size(): Int = grants.size

    /**
     * Grants [wanted] to [holder], unless a reservation of a [live] instance for another request
     * has one of its runners or the same fingerprint. Removes expired reservations.
     */
    @Synchronized
    public fun reserve(
        holder: InstanceId,
        wanted: ReservationRequest,
        live: Set<InstanceId>
    ): ReservationReply {
        val now = clock.monotonicMillis()
        grants.values.removeIf { it.holder !in live || it.untilMillis <= now }
        val others = grants.values.filter { it.reservation.request != wanted.request }
            .map { it.reservation }
        val busy = others.flatMapTo(LinkedHashSet()) { it.runners }
        val isRunning = others.any { it.fingerprint == wanted.fingerprint }
        if (isRunning || wanted.runners.any { it in busy }) return ReservationReply(false, busy)
        grants[wanted.request] = Grant(holder, wanted, now + LIFETIME_MILLIS)
        return ReservationReply(granted = true)
    }

    /** Ends the reservation for [request] if [holder] owns it. */
    @Synchronized
    public fun release(holder: InstanceId, request: RequestId) {
        if (grants[request]?.holder == holder) grants.remove(request)
    }

    public companion object {
        public const val LIFETIME_MILLIS: Long = 30_000
    }
}
