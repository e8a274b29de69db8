package io.greengageport.testkit

import io.greengageport.common.Clock

/** A clock that advances only when a test calls [advance]. */
public class ManualClock(
    private var monotonic: Long = 0,
    private var wall: Long = START_WALL_MILLIS
) : Clock {
    @Synchronized
    override fun monotonicMillis(): Long = monotonic

    @Synchronized
    override fun wallMillis(): Long = wall

    /** Advances both clocks by [millis]. */
    @Synchronized
    public fun advance(millis: Long) {
        require(millis >= 0) { "cannot advance the clock by a negative time: $millis ms" }
        monotonic += millis
        wall += millis
    }

    public companion object {
        /** 2026-01-01T00:00:00Z. */
        public const val START_WALL_MILLIS: Long = 1_767_225_600_000
    }
}
