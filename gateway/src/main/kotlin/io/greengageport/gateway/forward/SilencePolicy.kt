package io.greengageport.gateway.forward

/**
 * Replaces an attempt whose response does not advance in time.
 *
 * A silent server may be sound and go on, so the attempt is given up only once another one has
 * advanced the response.
 */
internal interface SilencePolicy {
    /** Finds out why the response does not advance, which may take some hundred milliseconds. */
    suspend fun examine()

    /**
     * Tries to replace the attempt, and returns whether another one has advanced the stream; called
     * after [examine], if the response has not advanced meanwhile.
     */
    suspend fun awaitReplacement(): Boolean

    /** Called when an event has advanced the stream, so that it needs no replacement. */
    fun onAdvance()
}
