package io.greengageport.membership

import io.greengageport.common.Clock
import java.util.concurrent.atomic.AtomicLong

/** Limits logging to one line per second, for lines that a remote party can trigger at will. */
internal class LogLimiter(private val clock: Clock) {
    private val nextAtMillis = AtomicLong(Long.MIN_VALUE)

    fun log(write: () -> Unit) {
        val now = clock.monotonicMillis()
        val next = nextAtMillis.get()
        if (now >= next && nextAtMillis.compareAndSet(next, now + PERIOD_MILLIS)) write()
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
    }
}
