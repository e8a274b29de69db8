package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.ChainStage

/**
 * Where one attempt goes: [server] receives it, and [stages] tell which engines run which layers.
 *
 * [members] are the ids of all servers that take part, [server] first.
 */
internal class Selection(
    val server: BackendServer,
    val members: List<RunnerId> = listOf(server.id),
    val stages: List<ChainStage> = emptyList()
) {
    /** Layers that member [index] runs; 1 for a plain server. */
    fun layersOf(index: Int): Int = stages.getOrNull(index)?.layers?.size ?: 1
}

/** Chooses where an attempt goes. */
internal fun interface ServerSelector {
    /** A choice without the servers in [excluded], or null if there is none. */
    fun select(context: RequestContext, excluded: Set<RunnerId>): Selection?
}
