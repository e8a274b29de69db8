package io.greengageport.limits

import io.greengageport.common.RequestId
import java.util.concurrent.atomic.AtomicBoolean

/**
 * The right to run one request. It is released exactly once; later calls have no effect.
 *
 * ```
 * permit.onFirstToken()
 * permit.release(actualTokens = 412)
 * ```
 */
public class Permit internal constructor(
    public val id: RequestId,
    /** Time spent in the queue, in ms. */
    public val waitedMillis: Long,
    private val firstToken: () -> Unit,
    private val end: (actualTokens: Long) -> Unit
) {
    private val isReleased = AtomicBoolean()
    private val hasFirstToken = AtomicBoolean()

    /** Reports that the first token arrived. */
    public fun onFirstToken() {
        if (!isReleased.get() && hasFirstToken.compareAndSet(false, true)) firstToken()
    }

    /** Ends the request with the tokens it used; returns whether this call released the permit. */
    public fun release(actualTokens: Long): Boolean {
        require(actualTokens >= 0) { "the work of a request is not negative: $actualTokens" }
        if (!isReleased.compareAndSet(false, true)) return false
        end(actualTokens)
        return true
    }
}
