package io.greengageport.gateway.peer

import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId

/** An instance that opens connections to servers for others. */
internal data class TunnelPeer(val id: InstanceId, val address: HostPort)
