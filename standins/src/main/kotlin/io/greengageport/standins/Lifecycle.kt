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

/** Prints `listening HOST:PORT` for the process that started this one. */
internal fun announce(address: HostPort) {
    println("listening $address")
    System.out.flush()
}

/** Blocks until SIGTERM, then runs [drain] before the process ends. */
internal fun awaitTermination(drain: suspend () -> Unit) {
    val done = CountDownLatch(1)
    val ended = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            done.countDown()
            ended.await()
        }
    )
    done.await()
    runBlocking { drain() }
    ended.countDown()
}

private const val REGISTER_MILLIS = 500L
private const val DRAIN_POLL_MILLIS = 50L
private const val DRAIN_LIMIT_MILLIS = 30_000L

/** Time for callers to learn that the runner is leaving, before its port closes. */
private const val LEAVE_NOTICE_MILLIS = 1_500L

/** Renews the entry of a runner in the instance list. */
internal fun CoroutineScope.register(client: HttpClient, url: String, runner: () -> ListedRunner) =
    repeatedly(REGISTER_MILLIS) {
        client.put("$url/v1/instances/runners") { setBody(json.encodeToString(runner())) }
    }

/** Runs [action] each [millis] until the scope ends. */
internal fun CoroutineScope.repeatedly(millis: Long, action: suspend () -> Unit) = launch {
    while (isActive) {
        try {
            action()
        } catch (e: IOException) {
            // The platform may be down; the next round tries again.
        }
        delay(millis)
    }
}

/** Waits until callers know that the runner is leaving and its work is done. */
internal suspend fun drain(isIdle: () -> Boolean) {
    delay(LEAVE_NOTICE_MILLIS)
    var waited = 0L
    while (!isIdle() && waited < DRAIN_LIMIT_MILLIS) {
        delay(DRAIN_POLL_MILLIS)
        waited += DRAIN_POLL_MILLIS
    }
}
