package io.greengageport.standins

import io.greengageport.common.HostPort
import io.greengageport.ports.ListedRunner
import io.ktor.client.HttpClient
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import java.io.IOException
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString

/** Prints `listening HOST:PORT`, which the parent process waits for. */
internal fun announceAddress(address: HostPort) {
    println("listening $address")
    System.out.flush()
}

/** Blocks until SIGTERM, then runs [drain] before the process exits. */
internal fun awaitTermination(drain: suspend () -> Unit) {
    val terminating = CountDownLatch(1)
    val drained = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            terminating.countDown()
            drained.await()
        }
    )
    terminating.await()
    runBlocking { drain() }
    drained.countDown()
}

private const val REGISTER_PERIOD_MILLIS = 500L
private const val DRAIN_POLL_MILLIS = 50L
private const val DRAIN_LIMIT_MILLIS = 30_000L

/** Time in which callers learn that the runner is leaving, before its port closes. */
private const val LEAVE_NOTICE_MILLIS = 1_500L

/** Registers a runner in the instance list of the platform at [url] until the scope ends. */
internal fun CoroutineScope.registerPeriodically(
    client: HttpClient,
    url: String,
    runner: () -> ListedRunner
) = repeatEvery(REGISTER_PERIOD_MILLIS) {
    client.put("$url/v1/instances/runners") { setBody(json.encodeToString(runner())) }
}

/** Runs [action] with a pause of [millis] after each run until the scope ends. */
internal fun CoroutineScope.repeatEvery(millis: Long, action: suspend () -> Unit) = launch {
    while (isActive) {
        try {
            action()
        } catch (e: IOException) {
            // The platform may be unavailable; the next iteration retries.
        }
        delay(millis)
    }
}

/** Waits [LEAVE_NOTICE_MILLIS], then at most [DRAIN_LIMIT_MILLIS] until [isIdle]. */
internal suspend fun drain(isIdle: () -> Boolean) {
    delay(LEAVE_NOTICE_MILLIS)
    var waitedMillis = 0L
    while (!isIdle() && waitedMillis < DRAIN_LIMIT_MILLIS) {
        delay(DRAIN_POLL_MILLIS)
        waitedMillis += DRAIN_POLL_MILLIS
    }
}
