package io.greengageport.gateway.state

import io.greengageport.common.RunnerId

/** A path to servers that is never lost, so that every failed connection is one of the server. */
internal object ConnectedPath : ServerPath {
    override val isCutOff: Boolean get() = false

    override suspend fun isFailureOfServer(server: RunnerId): Boolean = true
}
