package io.greengageport.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Time within which an accepted change has to become visible at this instance. */
private const val VISIBILITY_TIMEOUT_MILLIS = 2_000L

private const val VERSION_POLL_MILLIS = 5L

/**
 * Waits until [currentVersion] returns at least [version]; returns false on a timeout.
 *
 * The publisher reads the fate of a change from the log, before the view of its own instance is
 * updated. An author who was answered immediately could read the state before the change and base
 * the next change on it, which would be rejected as a conflict with the author's own change.
 */
internal suspend fun awaitVersion(version: Long, currentVersion: () -> Long): Boolean =
    withTimeoutOrNull(VISIBILITY_TIMEOUT_MILLIS) {
        while (currentVersion() < version) delay(VERSION_POLL_MILLIS)
        true
    } ?: false
