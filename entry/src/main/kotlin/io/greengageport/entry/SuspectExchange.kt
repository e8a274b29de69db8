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
 * What instances tell each other about requests that crash runners, beyond gossip.
 *
 * A block is sent to every live instance and acknowledged before the caller gets its answer: gossip
 * takes some milliseconds, in which the caller can send the request again through another instance.
 * Marked requests reserve their runners with the one instance that owns the reservations of their
 * service, so that marked requests of two instances don't meet on a runner.
 *
 * ```
 * exchange.announceBlock(state)
 * val reply = exchange.reserve(service, ReservationRequest(id, fingerprint, runners))
 * ```
 */
internal class SuspectExchange(
    private val members: Members,
    private val calls: PeerCalls,
    private val handlers: PeerHandlers,
    private val suspects: SuspectRequests,
    private val reservations: MarkedReservations
) {
    /** Begins to answer the other instances. */
    fun start() {
        handlers.handle(BLOCK_CHANNEL) { _, payload ->
            suspects.merge(cbor.decodeFromByteArray<SuspectState>(payload))
            ByteArray(0)
        }
        handlers.handle(RESERVE_CHANNEL) { from, payload ->
            cbor.encodeToByteArray(
                reservations.reserve(from, cbor.decodeFromByteArray(payload), live())
            )
        }
        handlers.handle(RELEASE_CHANNEL) { from, payload ->
            reservations.release(from, RequestId(payload.decodeToString()))
            ByteArray(0)
        }
    }

    /** Returns when each live instance knows of the block or did not answer in time. */
    suspend fun announceBlock(state: SuspectState): Unit = coroutineScope {
        val payload = cbor.encodeToByteArray(state)
        for (peer in live() - members.self) {
            launch {
                calls.call(peer, BLOCK_CHANNEL, payload, TIMEOUT).onFailure {
                    Logger.warn("routing: instance=$peer did not confirm a block: $it")
                }
            }
        }
    }

    /** Asks for the runners of a marked request; null if the owner does not answer. */
    suspend fun reserve(service: ServiceName, what: ReservationRequest): ReservationReply? {
        val owner = owner(service)
        if (owner == members.self) return reservations.reserve(owner, what, live())
        val reply = calls.call(owner, RESERVE_CHANNEL, cbor.encodeToByteArray(what), TIMEOUT)
            .getOrElse {
                Logger.warn("routing: no reservation for request=${what.request} from $owner: $it")
                return null
            }
        return try {
            cbor.decodeFromByteArray<ReservationReply>(reply)
        } catch (e: SerializationException) {
            Logger.warn("routing: malformed reservation from $owner: ${e.message}")
            null
        }
    }

    /** Ends a reservation; one that can't be ended expires at its owner. */
    suspend fun release(service: ServiceName, request: RequestId) {
        val owner = owner(service)
        if (owner == members.self) {
            reservations.release(owner, request)
        } else {
            calls.call(owner, RELEASE_CHANNEL, request.value.encodeToByteArray(), TIMEOUT)
        }
    }

    private fun owner(service: ServiceName) = Rendezvous(live()).owner(service.value)

    private fun live(): Set<InstanceId> = members.live().mapTo(LinkedHashSet()) { it.id }

    private companion object {
        const val BLOCK_CHANNEL = "suspect-block"
        const val RESERVE_CHANNEL = "suspect-reserve"
        const val RELEASE_CHANNEL = "suspect-release"

        /** Well above a call between data centres; one that is cut off delays an answer by it. */
        val TIMEOUT = 250.milliseconds
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}
