package io.greengageport.gateway.tunnel

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.state.BackendDirectory
import java.net.InetAddress

/**
 * Decides which tunnels this instance takes. It connects only to servers of its own list that get
 * new work, so that no peer reaches anything else through it and no request goes round in circles.
 */
internal class TunnelAdmission(
    private val directory: BackendDirectory,
    private val isPaused: (RunnerId) -> Boolean,
    private val isCutOff: () -> Boolean,
    private val isRefusing: () -> Boolean,
    private val isPeerAddress: (InetAddress) -> Boolean
) {
    /**
     * Returns why a connection from [address] is refused while [openTunnels] are open, or null if
     * it is accepted.
     */
    fun refusalOf(address: InetAddress, openTunnels: Int): String? = when {
        !isPeerAddress(address) -> "not an address of a peer"
        isRefusing() -> "stopping"
        openTunnels >= MAX_TUNNELS -> "more than $MAX_TUNNELS tunnels"
        else -> null
    }

    /** Returns the server that [request] asks for, or why it is refused. */
    fun findServer(request: TunnelRequest): Result<BackendServer, String> {
        val server = directory.find(RunnerId(request.server))
        return when {
            isCutOff() -> Err("no path to servers")
            isRefusing() -> Err("stopping")
            server == null -> Err("unknown server")
            server.address.toString() != request.address -> Err("the server has another address")
            server.isLeaving -> Err("the server is leaving")
            isPaused(server.id) -> Err("the server is paused")
            else -> Ok(server)
        }
    }

    companion object {
        /**
         * Limit of open tunnels: requests that a cut-off instance of this size has in flight. Each
         * takes two descriptors and up to some 100 KiB of buffers.
         */
        const val MAX_TUNNELS = 256
    }
}
