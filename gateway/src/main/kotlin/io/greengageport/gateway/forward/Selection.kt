package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.port.ChainStage

/**
 * The target of one attempt: [server] receives the request, and [stages] state which engine of a
 * chain runs which layers.
 *
 * [members] are the ids of all servers involved, [server] first.
 */
internal class Selection(
    val server: BackendServer,
    val members: List<RunnerId> = listOf(server.id),
    val stages: List<ChainStage> = emptyList()
) {
    /** Returns the number of layers that member [index] runs; 1 for a plain server. */
    fun layersOf(index: Int): Int = stages.getOrNull(index)?.layers?.size ?: 1
}

/** Selects the target of an attempt. */
internal fun interface ServerSelector {
    /** Returns a selection without the servers in [excluded], or null if there is none. */
    fun select(context: RequestContext, excluded: Set<RunnerId>): Selection?
}
