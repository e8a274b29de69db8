package io.greengageport.membership

import io.greengageport.common.Clock
import java.util.concurrent.atomic.AtomicLong

/** Lets at most one log line a second through, for lines that outsiders can cause at will. */
internal class LogLimiter(private val clock: Clock) {
    private val nextAt = AtomicLong(Long.MIN_VALUE)

    fun log(line: () -> Unit) {
        val now = clock.monotonicMillis()
        val due = nextAt.get()
        if (now >= due && nextAt.compareAndSet(due, now + PERIOD_MILLIS)) line()
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
    }
}
