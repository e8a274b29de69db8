package io.greengageport.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.ChangeBatch
import io.greengageport.gateway.port.ChangeFeed
import io.greengageport.gateway.port.StoreError
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against lost changes, and against a follower that stops after errors of the store. */
class FeedFollowerTest {
    private class ScriptedFeed(val answers: ArrayDeque<Result<ChangeBatch<String>, StoreError>>) :
        ChangeFeed<String> {
        val calls: MutableList<String> = ArrayList()
        val waitsMillis: MutableList<Long> = ArrayList()

        override suspend fun snapshot(): Result<ChangeBatch<String>, StoreError> {
            calls += "snapshot"
            return answers.removeFirst()
        }

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<String>, StoreError> {
            calls += "from $position"
            waitsMillis += waitMillis
            return answers.removeFirst()
        }
    }

    private class RecordingConsumer : FeedConsumer<String> {
        val received: MutableList<String> = ArrayList()

        override fun onSnapshot(entries: List<Change<String>>, end: Long) {
            received += "snapshot " + entries.joinToString { it.key }
        }

        override fun onChanges(changes: List<Change<String>>) {
            received += "changes " + changes.joinToString { it.key }
        }

        override fun onRecovered(downMillis: Long) {
            received += "regained after $downMillis"
        }
    }

    private val clock = SteppedClock()
    private val consumer = RecordingConsumer()

    /** Guards against a position that changes of peers extend no longer while reads fail. */
    @Test
    fun `a requested snapshot is read again after a failure and keeps the position until then`() {
        val answers = listOf(batch(5, "a"), Err(StoreError.Refused(503)), batch(9, "b"))
        val feed = ScriptedFeed(ArrayDeque(answers))
        val follower = FeedFollower(
            "test",
            feed,
            consumer,
            clock,
            RecordedLog().log,
            waitMillis = { 0 },
            pauseMillis = { 0 }
        )
        runBlocking {
            follower.readOnce()
            follower.requestSnapshot()
            follower.readOnce()
            expectThat(follower.position).isEqualTo(5)
            follower.readOnce()
        }
        expectThat(feed.calls.toList()).isEqualTo(List(3) { "snapshot" })
        expectThat(follower.position).isEqualTo(9)
    }

    private fun batch(next: Long, vararg keys: String): Result<ChangeBatch<String>, StoreError> =
        Ok(ChangeBatch(keys.map { Change.Put(it, it) }, next))

    private fun readAll(answers: List<Result<ChangeBatch<String>, StoreError>>): ScriptedFeed {
        val feed = ScriptedFeed(ArrayDeque(answers))
        val follower = FeedFollower("test", feed, consumer, clock, RecordedLog().log, { 0 }, { 0 })
        runBlocking {
            repeat(answers.size) {
                follower.readOnce()
                clock.nowMillis += 100
            }
        }
        return feed
    }

    @Test
    fun `each read starts at the end of the previous one`() {
        val feed = readAll(listOf(batch(4, "a"), batch(6, "b", "c"), batch(6), batch(7, "d")))
        expectThat(feed.calls.toList()).isEqualTo(listOf("snapshot", "from 4", "from 6", "from 6"))
        expectThat(consumer.received.toList())
            .isEqualTo(listOf("snapshot a", "changes b, c", "changes d"))
    }

    @Test
    fun `a lost history causes a new snapshot`() {
        val feed = readAll(
            listOf(batch(4, "a"), Err(StoreError.HistoryLost), batch(9, "b"), batch(9))
        )
        expectThat(
            feed.calls.toList()
        ).isEqualTo(listOf("snapshot", "from 4", "snapshot", "from 9"))
    }

    /** Guards against reads without a pause, each of which is billed. */
    @Test
    fun `a snapshot that is answered with a lost history is retried with the backoff`() {
        val feed = ScriptedFeed(ArrayDeque(listOf(Err(StoreError.HistoryLost))))
        val follower = FeedFollower("test", feed, consumer, clock, RecordedLog().log, { 0 }, { 0 })
        runBlocking { follower.readOnce() }
        expectThat(follower.isFailing).isEqualTo(true)
    }

    /**
     * Guards against an instance that uses an old table for seconds after a loss of the history: it
     * waited for the pause between reads, or for the backoff of earlier failures.
     */
    @Nested
    inner class `The snapshot after a lost history` {
        private fun readUntilSnapshot(failures: Int): Unit = runBlocking {
            val refusals = List(failures) { Err(StoreError.Refused(503)) }
            val feed = ScriptedFeed(
                ArrayDeque(
                    listOf(batch(4, "a")) + refusals + Err(StoreError.HistoryLost) + batch(2, "b")
                )
            )
            val follower = FeedFollower(
                name = "test",
                feed = feed,
                consumer = consumer,
                clock = clock,
                log = RecordedLog().log,
                waitMillis = { 0 },
                pauseMillis = { LONG_MILLIS },
                maxBackoffMillis = { LONG_MILLIS }
            )
            repeat(1 + failures) { follower.readOnce() }
            val job = launch { follower.run() }
            withTimeout(MAX_READ_MILLIS) { while ("snapshot b" !in consumer.received) delay(5) }
            job.cancel()
        }

        @Test
        fun `is read without the pause between reads`() {
            readUntilSnapshot(failures = 0)
        }

        @Test
        fun `is read without the backoff of earlier failures`() {
            readUntilSnapshot(failures = 10)
        }
    }

    @Test
    fun `a failed read is retried from the same position and the recovery is reported`() {
        val failure = Err(StoreError.NoResponse("reset"))
        val feed = readAll(
            listOf(batch(4, "a"), failure, Err(StoreError.Refused(503)), batch(5, "b"))
        )
        expectThat(feed.calls.drop(1)).isEqualTo(listOf("from 4", "from 4", "from 4"))
        expectThat(consumer.received.toList())
            .isEqualTo(listOf("snapshot a", "regained after 200", "changes b"))
    }

    /**
     * Guards against a recovery that is noticed only after a wait of 20 s, because no record is
     * written.
     */
    @Test
    fun `the first read after a failure does not wait for changes`() {
        val feed = ScriptedFeed(
            ArrayDeque(listOf(batch(4, "a"), Err(StoreError.Refused(503)), batch(4), batch(4)))
        )
        val follower =
            FeedFollower("test", feed, consumer, clock, RecordedLog().log, { 500 }, { 0 })
        runBlocking { repeat(4) { follower.readOnce() } }
        expectThat(feed.waitsMillis.toList()).isEqualTo(listOf(500L, 0L, 500L))
    }

    @Test
    fun `a hanging read is replaced on restart`() {
        var reads = 0
        val feed = object : ChangeFeed<String> {
            override suspend fun snapshot(): Result<ChangeBatch<String>, StoreError> = batch(1, "a")

            override suspend fun changes(
                position: Long,
                waitMillis: Long
            ): Result<ChangeBatch<String>, StoreError> {
                if (reads++ == 0) awaitCancellation()
                return batch(2, "b")
            }
        }
        val follower = FeedFollower("test", feed, consumer, clock, RecordedLog().log, { 0 }, { 0 })
        runBlocking {
            val job = launch { follower.run() }
            while (reads == 0) yield()
            follower.restartRead()
            while ("changes b" !in consumer.received) yield()
            job.cancel()
        }
        expectThat(consumer.received.take(2)).isEqualTo(listOf("snapshot a", "changes b"))
    }

    /** Guards against billed calls of a whole fleet to a store that refuses them. */
    @Test
    fun `the backoff between failing reads is limited by the owner`() {
        fun callsIn(maxBackoffMillis: Long): Int = runBlocking {
            val refused = List(REFUSALS) { Err(StoreError.Refused(503)) }
            val feed = ScriptedFeed(ArrayDeque(refused))
            val follower = FeedFollower(
                name = "test",
                feed = feed,
                consumer = consumer,
                clock = clock,
                log = RecordedLog().log,
                waitMillis = { 0 },
                pauseMillis = { 0 },
                maxBackoffMillis = { maxBackoffMillis }
            )
            val job = launch { follower.run() }
            delay(OUTAGE_MILLIS)
            job.cancel()
            expectThat(follower.isFailing).isEqualTo(true)
            feed.calls.size
        }
        // The first backoffs double from 50 ms, whatever the limit.
        expectThat(callsIn(maxBackoffMillis = 60)).isGreaterThan(15)
        expectThat(callsIn(maxBackoffMillis = 2_000)).isLessThan(7)
    }

    private companion object {
        const val REFUSALS = 1_000
        const val OUTAGE_MILLIS = 1_500L
        const val LONG_MILLIS = 60_000L

        /** Time within which a configuration must be in force. */
        const val MAX_READ_MILLIS = 2_000L
    }
}
