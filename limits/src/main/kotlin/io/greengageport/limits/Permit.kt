package io.greengageport.limits

import io.greengageport.common.RequestId
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Permission to run one admitted request. The first [release] takes effect; later calls do nothing.
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
    private val onFirstTokenReceived: () -> Unit,
    private val onRelease: (actualTokens: Long) -> Unit
) {
    private val isReleased = AtomicBoolean()
    private val hasFirstToken = AtomicBoolean()

    /** Must be called when the first token arrives; later calls do nothing. */
    public fun onFirstToken() {
        if (!isReleased.get() && hasFirstToken.compareAndSet(false, true)) onFirstTokenReceived()
    }

    /** Releases the permit with the tokens used; false if it was released before. */
    public fun release(actualTokens: Long): Boolean {
        require(actualTokens >= 0) { "the actual tokens must not be negative: $actualTokens" }
        if (!isReleased.compareAndSet(false, true)) return false
        onRelease(actualTokens)
        return true
    }
}
