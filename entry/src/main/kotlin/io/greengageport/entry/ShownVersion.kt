package io.greengageport.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** How long an accepted change may take to be shown by the instance that accepted it, in ms. */
private const val SHOWN_WITHIN_MILLIS = 2_000L

/** Pause between two looks at the version, in ms. */
private const val LOOK_MILLIS = 5L

/**
 * Waits until [shown] has reached [version], and returns whether it did in time.
 *
 * The publisher learns the fate of a change from the log itself, ahead of the view of its own
 * instance. An author who is answered at once may be shown the state before the change, and base
 * the next change on it, which is then rejected as a conflict with the author's own.
 */
internal suspend fun awaitShown(version: Long, shown: () -> Long): Boolean =
    withTimeoutOrNull(SHOWN_WITHIN_MILLIS) {
        while (shown() < version) delay(LOOK_MILLIS)
        true
    } ?: false
