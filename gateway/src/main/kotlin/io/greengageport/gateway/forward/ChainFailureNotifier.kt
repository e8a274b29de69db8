package io.greengageport.gateway.forward

import io.greengageport.common.RunnerId

/** An attempt that waits for the response of a chain of engines. */
internal fun interface WaitingAttempt {
    /** Called when a stage of the chain was found unreachable. */
    fun onStageUnreachable()
}

/**
 * Notifies running attempts when a stage of their chain is found unreachable.
 *
 * The first stage does not report the loss of a later stage; it only stops sending, and it takes
 * most of a second to tell that from a slow response. A new request detects the loss within some
 * ms, and the notification lets streams through that stage resume at other servers equally soon.
 */
internal class ChainFailureNotifier {
    private val attempts = HashMap<RunnerId, MutableSet<WaitingAttempt>>()

    /** Registers [attempt] until [remove]; [members] are the servers of its chain. */
    fun add(members: List<RunnerId>, attempt: WaitingAttempt) {
        for (m in members) attempts.getOrPut(m, ::HashSet) += attempt
    }

    /** Removes [attempt], which was added with the same [members]. */
    fun remove(members: List<RunnerId>, attempt: WaitingAttempt) {
        for (m in members) {
            val waiting = attempts[m] ?: continue
            waiting -= attempt
            if (waiting.isEmpty()) attempts -= m
        }
    }

    /** Notifies the attempts through [server], which this instance or a peer found unreachable. */
    fun notifyUnreachable(server: RunnerId) {
        attempts[server]?.toList()?.forEach { it.onStageUnreachable() }
    }
}
