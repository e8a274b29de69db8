package io.greengageport.gateway.state

import io.greengageport.common.RunnerId

/**
 * Tells whether this instance has a network path to backend servers.
 *
 * A failed connection is evidence about both of its ends. Whether it counts as a failure of the
 * server is decided by connections to other servers, opened after it failed.
 */
public interface ServerPath {
    /** Whether this instance has concluded that it reaches no server. */
    public val isCutOff: Boolean

    /**
     * Whether a connection to [server] that has just failed shows a failure of the server. Opens
     * connections to other servers to find out, and returns within some hundred milliseconds.
     */
    public suspend fun isFailureOfServer(server: RunnerId): Boolean
}
