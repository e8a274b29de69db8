package io.greengageport.common

import com.github.michaelbull.result.Result
import kotlin.time.Duration
import kotlinx.serialization.Serializable

/** An entry instance as membership sees it. */
@Serializable
public data class Member(
    val id: InstanceId,
    val peerAddress: String,
    val dataCentre: DataCentre,
    val leaving: Boolean = false
)

/** The current view of live instances; it may lag and differ between instances. */
public interface Members {
    /** This instance. */
    public val self: InstanceId

    /** Live instances, this one included, sorted by id. */
    public fun live(): List<Member>
}

/** Calls to other instances. */
public interface PeerCalls {
    /** Sends [payload] to the handler of [channel] at [peer] and returns its reply. */
    public suspend fun call(
        peer: InstanceId,
        channel: String,
        payload: ByteArray,
        timeout: Duration
    ): Result<ByteArray, PeerError>
}

/** Handlers for calls from other instances. */
public interface PeerHandlers {
    /** Registers the handler of [channel]; a channel has one handler. */
    public fun handle(
        channel: String,
        handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
    )
}

/** Eventually delivers small items to all instances; per topic and key the highest version wins. */
public interface Gossip {
    /** Publishes an item of at most a few hundred bytes. */
    public fun publish(topic: String, key: String, version: Long, payload: ByteArray)

    /** Calls [listener] for each newer item of [topic], also for those published here. */
    public fun subscribe(topic: String, listener: GossipListener)
}

/** Receives the items of a topic. */
public fun interface GossipListener {
    public fun onItem(key: String, version: Long, payload: ByteArray)
}

/** Why a call to another instance failed. */
public sealed interface PeerError {
    /** The peer is not in the membership view or refuses connections. */
    public data class Unreachable(val peer: InstanceId) : PeerError

    /** No reply within the timeout; the call may have been handled. */
    public data class TimedOut(val peer: InstanceId) : PeerError

    /** The peer has no handler for the channel or its handler failed. */
    public data class Failed(val peer: InstanceId, val reason: String) : PeerError
}
