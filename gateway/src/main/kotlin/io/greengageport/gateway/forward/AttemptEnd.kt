package io.greengageport.gateway.forward

import io.greengageport.common.HostPort
import io.greengageport.gateway.http.ConnectionObserver
import io.greengageport.gateway.http.HttpReply

/**
 * The outcome of one attempt at a backend server.
 *
 * Simple names and string forms are metric labels and log values.
 */
internal sealed interface AttemptEnd {
    /** The complete response was read. */
    data class Answered(val reply: HttpReply) : AttemptEnd

    /** A streamed response was relayed to its end. */
    data object Streamed : AttemptEnd

    /** No connection could be opened, so nothing was sent. */
    data class NotConnected(
        val reason: String,
        val observer: ConnectionObserver = ConnectionObserver.THIS_INSTANCE
    ) : AttemptEnd

    /**
     * The server states that it did not run the request. [stage] is the address of the chain stage
     * that failed, if the server names one.
     */
    data class NotRun(val status: Int, val stage: HostPort?) : AttemptEnd

    /**
     * The connection closed early, timed out ([isSilent]) or carried an invalid response. The
     * request may have run. [isStaleConnection] tells that a kept connection carried other bytes
     * before the response, so that the server may still answer on another connection.
     */
    data class Broken(
        val reason: String,
        val isSilent: Boolean = false,
        val isStaleConnection: Boolean = false
    ) : AttemptEnd

    /** The caller closed its connection before the response was complete. */
    data object CallerGone : AttemptEnd

    /** Another attempt of the request responded first. The server may have run the request. */
    data object Superseded : AttemptEnd
}
