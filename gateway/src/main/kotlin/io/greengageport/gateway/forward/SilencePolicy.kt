package io.greengageport.gateway.forward

/** Decides whether an attempt whose response does not advance in time is given up. */
internal interface SilencePolicy {
    /** Finds out why the response does not advance, which may take some hundred milliseconds. */
    suspend fun examine()

    /**
     * Returns whether to give up the attempt; called after [examine], if the response has not
     * advanced meanwhile.
     */
    fun shouldGiveUp(): Boolean
}
