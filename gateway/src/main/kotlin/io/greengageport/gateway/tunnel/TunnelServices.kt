package io.greengageport.gateway.tunnel

import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.model.BackendServer
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelOption

/** What the tunnels that an instance serves have in common. */
internal class TunnelServices(
    val loop: EventLoop,
    val admission: TunnelAdmission,
    /** Whether a failed connection to the server shows a failure of it, which is then recorded. */
    val isServerUnreachable: suspend (BackendServer) -> Boolean,
    /** The tunnels that have not ended. */
    val tunnels: MutableSet<ServedTunnel> = HashSet()
) {
    /** Bytes of all tunnels that wait for servers to take them. */
    var queuedBytes = 0L

    val log = loop.log
    val bootstrap: Bootstrap =
        HttpConnector.newBootstrap(loop)
            .option(ChannelOption.AUTO_READ, false)
            // Tells an end by the server from a close by this instance.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
}
