package io.greengageport.gateway.http

import com.github.michaelbull.result.Result
import io.greengageport.gateway.model.BackendServer

/** Opens connections to servers through peers, for an instance that has no path to servers. */
internal interface ServerTunnels {
    /** Whether connections have to be opened through peers, because direct ones fail. */
    val isNeeded: Boolean

    /**
     * Opens a connection to [server] within [timeoutMillis]. It ends as a direct one does. If it
     * fails, nothing was sent.
     */
    suspend fun connect(
        server: BackendServer,
        timeoutMillis: Long
    ): Result<HttpChannel, HttpFailure.NotConnected>
}
