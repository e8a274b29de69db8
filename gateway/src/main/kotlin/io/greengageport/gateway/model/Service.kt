package io.greengageport.gateway.model

import io.greengageport.common.ServiceName
import io.greengageport.routing.EngineProfile

/**
 * A service. [healthPath] is the path of health checks on its backend servers. [engine] is the
 * profile of its engines, or null for a plain service.
 */
public data class Service(
    val name: ServiceName,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineProfile?
)
