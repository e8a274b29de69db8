package io.greengageport.entry

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.greengageport.common.InstanceId
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerHandlers
import io.greengageport.common.RequestId
import io.greengageport.common.ServiceName
import io.greengageport.limits.Rendezvous
import io.greengageport.routing.MarkedReservations
import io.greengageport.routing.ReservationReply
import io.greengageport.routing.ReservationRequest
import io.greengageport.routing.SuspectRequests
import io.greengageport.routing.SuspectState
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.tinylog.kotlin.Logger

/**
 * Coordinates requests that crash runners between instances by direct calls, in addition to gossip.
 *
 * A block is sent to every live instance and acknowledged before the caller gets its answer. Gossip
 * takes some milliseconds, in which the caller could send the request again to another instance.
 * Marked requests reserve their runners with the one instance that owns the reservations of their
 * service, so that marked requests of two instances do not run on the same runner.
 *
 * ```
 * exchange.announceBlock(state)
 * val reply = exchange.reserve(service, ReservationRequest(id, fingerprint, runners))
 * ```
 */
internal class SuspectExchange(
    private val members: Members,
    private val peerCalls: PeerCalls,
    private val peerHandlers: PeerHandlers,
    private val suspects: SuspectRequests,
    private val reservations: MarkedReservations
) {
    /** Registers the handlers for calls of other instances. */
    fun start() {
        peerHandlers.handle(BLOCK_CHANNEL) { _, payload ->
            suspects.merge(cbor.decodeFromByteArray<SuspectState>(payload))
            ByteArray(0)
        }
        peerHandlers.handle(RESERVE_CHANNEL) { from, payload ->
            cbor.encodeToByteArray(
                reservations.reserve(from, cbor.decodeFromByteArray(payload), live())
            )
        }
        peerHandlers.handle(RELEASE_CHANNEL) { from, payload ->
            reservations.release(from, RequestId(payload.decodeToString()))
            ByteArray(0)
        }
    }

    /** Sends a block to all live instances; returns when each has confirmed it or timed out. */
    suspend fun announceBlock(state: SuspectState): Unit = coroutineScope {
        val payload = cbor.encodeToByteArray(state)
        for (peer in live() - members.self) {
            launch {
                peerCalls.call(peer, BLOCK_CHANNEL, payload, CALL_TIMEOUT).onFailure {
                    Logger.warn("routing: instance=$peer did not confirm a block: $it")
                }
            }
        }
    }

    /** Reserves the runners of a marked request; null if the owner sends no valid reply. */
    suspend fun reserve(service: ServiceName, reservation: ReservationRequest): ReservationReply? {
        val owner = owner(service)
        if (owner == members.self) return reservations.reserve(owner, reservation, live())
        val reply = peerCalls
            .call(owner, RESERVE_CHANNEL, cbor.encodeToByteArray(reservation), CALL_TIMEOUT)
            .getOrElse {
                Logger.warn(
                    "routing: no reservation for request=${reservation.request} from $owner: $it"
                )
                return null
            }
        return try {
            cbor.decodeFromByteArray<ReservationReply>(reply)
        } catch (e: SerializationException) {
            Logger.warn("routing: malformed reservation reply from $owner: ${e.message}")
            null
        }
    }

    /** Ends a reservation. If the owner cannot be reached, the reservation expires there. */
    suspend fun release(service: ServiceName, request: RequestId) {
        val owner = owner(service)
        if (owner == members.self) {
            reservations.release(owner, request)
        } else {
            peerCalls.call(owner, RELEASE_CHANNEL, request.value.encodeToByteArray(), CALL_TIMEOUT)
        }
    }

    private fun owner(service: ServiceName) = Rendezvous(live()).owner(service.value)

    private fun live(): Set<InstanceId> = members.live().mapTo(LinkedHashSet()) { it.id }

    private companion object {
        const val BLOCK_CHANNEL = "suspect-block"
        const val RESERVE_CHANNEL = "suspect-reserve"
        const val RELEASE_CHANNEL = "suspect-release"

        /**
         * Well above the time of a call between data centres. An instance that cannot be reached
         * delays an answer by this time.
         */
        val CALL_TIMEOUT = 250.milliseconds
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}
