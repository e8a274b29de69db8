package io.greengageport.common

import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An entry instance in the membership view. */
@Serializable
public data class Member(
    val id: InstanceId,
    val peerAddress: String,
    val dataCentre: DataCentre,
    @SerialName("leaving") val isLeaving: Boolean = false
)

/** The membership view: live instances. It can be stale and differ between instances. */
public interface Members {
    /** This instance. */
    public val self: InstanceId

    /** Live instances, including this one, sorted by id. */
    public fun live(): List<Member>
}

/** Client for calls to other instances. */
public interface PeerCalls {
    /** Sends [payload] to the handler of [channel] at [peer] and returns its reply. */
    public suspend fun call(
        peer: InstanceId,
        channel: String,
        payload: ByteArray,
        timeout: Duration
    ): Result<ByteArray, PeerError>
}

/** Registry of handlers for calls from other instances. */
public interface PeerHandlers {
    /** Registers the handler of [channel]; each channel has one handler. */
    public fun handle(
        channel: String,
        handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
    )
}

/**
 * Eventually consistent distribution of small items to all instances. For each topic and key, the
 * highest version wins.
 */
public interface Gossip {
    /** Publishes an item of at most a few hundred bytes. */
    public fun publish(topic: String, key: String, version: Long, payload: ByteArray)

    /** Calls [listener] for each newer item of [topic], including items published locally. */
    public fun subscribe(topic: String, listener: GossipListener)
}

/** Receives the items of a topic. */
public fun interface GossipListener {
    /** Processes an item that is newer than the previous one of [key]. */
    public fun onItem(key: String, version: Long, payload: ByteArray)
}

/** Why a call to another instance failed. */
public sealed interface PeerError {
    /** The peer is not in the membership view or refuses connections. */
    public data class Unreachable(val peer: InstanceId) : PeerError

    /** No reply arrived within the timeout; the peer may have handled the call. */
    public data class TimedOut(val peer: InstanceId) : PeerError

    /** The peer has no handler for the channel or its handler failed. */
    public data class Failed(val peer: InstanceId, val reason: String) : PeerError
}
