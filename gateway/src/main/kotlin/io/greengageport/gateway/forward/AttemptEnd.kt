package io.greengageport.gateway.forward

import io.greengageport.common.HostPort
import io.greengageport.gateway.http.HttpReply

/** How an attempt at a backend server ended. */
internal sealed interface AttemptEnd {
    /** The whole answer was read, or passed on to its end. */
    data class Answered(val reply: HttpReply) : AttemptEnd

    /** A streamed answer was passed on to its end. */
    data object Streamed : AttemptEnd

    /** No connection was made. */
    data class NotConnected(val reason: String) : AttemptEnd

    /** The server states that it did not run the request; [stage] could not do its part. */
    data class NotRun(val status: Int, val stage: HostPort?) : AttemptEnd

    /** The connection ended, fell silent ([isSilent]) or carried something else. */
    data class Broken(val reason: String, val isSilent: Boolean = false) : AttemptEnd

    /** The caller no longer reads. */
    data object CallerGone : AttemptEnd
}
