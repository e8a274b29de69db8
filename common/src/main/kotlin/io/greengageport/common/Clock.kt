package io.greengageport.common

/**
 * Source of time. Code that depends on the time takes a clock as a parameter, so that tests can
 * control it.
 *
 * Use [monotonicMillis] for durations and leases, and [wallMillis] only for times that cross
 * process boundaries, such as the issue time of a request.
 */
public interface Clock {
    /** Milliseconds of a clock that never goes backwards; comparable only within this process. */
    public fun monotonicMillis(): Long

    /** Milliseconds since 1970-01-01T00:00:00Z. */
    public fun wallMillis(): Long
}

/** The clocks of the operating system. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
