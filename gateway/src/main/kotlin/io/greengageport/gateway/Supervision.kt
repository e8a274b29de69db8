package io.greengageport.gateway

import io.greengageport.gateway.logging.DecisionLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

/**
 * Runs [work], which should run as long as the instance, and restarts it after an unexpected error.
 * Without this an instance would keep serving requests but, for example, never read the
 * configuration again.
 */
internal fun CoroutineScope.launchSupervised(
    name: String,
    log: DecisionLog,
    work: suspend () -> Unit
): Job = launch {
    while (true) {
        try {
            work()
            return@launch
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            log.record("entry", "task_failed", "task" to name, "error" to e)
        } catch (e: Throwable) {
            log.record("entry", "task_failed", "task" to name, "error" to e)
        }
        delay(RESTART_PAUSE_MILLIS)
    }
}

/** Prevents a recurring error from using the whole processor. */
private const val RESTART_PAUSE_MILLIS = 250L
