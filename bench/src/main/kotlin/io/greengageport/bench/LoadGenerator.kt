package io.greengageport.bench

import java.time.Instant
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Sends requests at their scheduled times without waiting for earlier answers (open loop).
 *
 * Latency counts from the scheduled time, so that a slow router or a late generator does not hide
 * waiting time.
 */
internal class LoadGenerator(private val addresses: List<String>, private val startNanos: Long) {
    private val results = ConcurrentLinkedQueue<CallResult>()
    private val answerCheck = AnswerCheck()

    /** Nanoseconds since the start of the experiment. */
    fun elapsedNanos(): Long = System.nanoTime() - startNanos

    /** Sends all [arrivals] and returns their results, sorted by arrival number. */
    suspend fun run(arrivals: List<Arrival>, limitMillis: Long): List<CallResult> {
        CallerClient(answerCheck, ::elapsedNanos).use { client ->
            withContext(Dispatchers.Default) {
                coroutineScope {
                    for (a in arrivals) {
                        val waitMillis = (a.atNanos - elapsedNanos()) / NANOS_PER_MILLI
                        if (waitMillis > 0) delay(waitMillis)
                        launch { results += callWithRetries(client, a, limitMillis) }
                    }
                }
            }
        }
        return results.sortedBy { it.arrival.number }
    }

    private suspend fun callWithRetries(
        client: CallerClient,
        a: Arrival,
        limitMillis: Long
    ): CallResult {
        val key = OrderKey(UUID.randomUUID().toString(), Instant.now())
        val attempts = mutableListOf<Attempt>()
        while (true) {
            val address = addresses[(a.target % addresses.size + attempts.size) % addresses.size]
            val attempt = client.send(a, address, key, limitMillis)
            attempts += attempt
            if (attempt.end == CallEnd.ANSWERED || attempts.size >= a.group.attempts) break
            delay(a.group.retryMillis)
        }
        return CallResult(
            a,
            attempts,
            elapsedNanos(),
            if (a.group.kind == CallKind.ORDER) key.value else ""
        )
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
