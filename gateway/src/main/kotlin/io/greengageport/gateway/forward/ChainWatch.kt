package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId

/** An attempt that waits for a chain of engines. */
internal fun interface WaitingAttempt {
    /** One of its stages is said to be gone. */
    fun onStageUnreachable()
}

/**
 * Tells attempts under way that a stage of their chain was found unreachable.
 *
 * The first stage shows the loss of a later one only by its silence, which takes most of a second
 * to tell from a slow answer. A new request finds the loss within some ms, and with this the
 * streams through that stage go on elsewhere as soon.
 */
internal class ChainWatch {
    private val attempts = HashMap<RunnerId, MutableSet<WaitingAttempt>>()

    fun add(members: List<RunnerId>, attempt: WaitingAttempt) {
        for (m in members) attempts.getOrPut(m, ::HashSet) += attempt
    }

    fun remove(members: List<RunnerId>, attempt: WaitingAttempt) {
        for (m in members) {
            val waiting = attempts[m] ?: continue
            waiting -= attempt
            if (waiting.isEmpty()) attempts -= m
        }
    }

    /** [server] was found unreachable by this instance or by a peer. */
    fun onUnreachable(server: RunnerId) {
        attempts[server]?.toList()?.forEach { it.onStageUnreachable() }
    }
}
