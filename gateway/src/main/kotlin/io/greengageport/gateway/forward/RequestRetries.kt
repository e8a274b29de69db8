package io.greengageport.gateway.forward

import io.greengageport.common.RankName
import io.greengageport.routing.RetryBudget
import io.greengageport.routing.RetryDecision

/**
 * Takes the retries of one request from the budget of its service, and returns those whose attempt
 * reached no server.
 *
 * A retry is held from [tryRetry] until an attempt uses it. If that attempt reaches no server while
 * no other one runs, the retry is held again: the next attempt then needs no new one, and its load
 * is still charged.
 */
internal class RequestRetries(private val budget: () -> RetryBudget, private val rank: RankName) {
    private var held: RetryDecision.Allowed? = null

    /** Whether the next attempt can use a retry that was taken before. */
    val isHeld: Boolean get() = held != null

    /** Takes the budget of a retry after [attempts] attempts, if there is enough. */
    fun tryRetry(attempts: Int): RetryDecision {
        close()
        return budget().tryRetry(attempts, rank).also { held = it as? RetryDecision.Allowed }
    }

    /** Returns the retry that the attempt which starts now uses, or null if it needs none. */
    fun use(): RetryDecision.Allowed? = held.also { held = null }

    /**
     * Records that the attempt that used [retry] surely reached no server. [isLast] tells whether
     * no other attempt of the request runs.
     */
    fun onUnsent(retry: RetryDecision.Allowed?, isLast: Boolean) {
        if (retry == null) return
        if (isLast && held == null) held = retry else budget().returnRetry(retry)
    }

    /** Returns the retry that no attempt has used. */
    fun close() {
        held?.let { budget().returnRetry(it) }
        held = null
    }
}
