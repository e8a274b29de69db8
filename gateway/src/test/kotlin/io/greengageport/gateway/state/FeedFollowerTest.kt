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
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against changes that are lost, and against a stop when the store misbehaves. */
class FeedFollowerTest {
    private class ScriptedFeed(val answers: ArrayDeque<Result<ChangeBatch<String>, StoreError>>) :
        ChangeFeed<String> {
        val calls: MutableList<String> = ArrayList()

        override suspend fun snapshot(): Result<ChangeBatch<String>, StoreError> {
            calls += "snapshot"
            return answers.removeFirst()
        }

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<String>, StoreError> {
            calls += "from $position"
            return answers.removeFirst()
        }
    }

    private class Recorded : FeedConsumer<String> {
        val seen: MutableList<String> = ArrayList()

        override fun onSnapshot(entries: List<Change<String>>, end: Long) {
            seen += "snapshot " + entries.joinToString { it.key }
        }

        override fun onChanges(changes: List<Change<String>>) {
            seen += "changes " + changes.joinToString { it.key }
        }

        override fun onRegained(downMillis: Long) {
            seen += "regained after $downMillis"
        }
    }

    private val clock = SteppedClock()
    private val consumer = Recorded()

    private fun batch(next: Long, vararg keys: String): Result<ChangeBatch<String>, StoreError> =
        Ok(ChangeBatch(keys.map { Change.Put(it, it) }, next))

    private fun play(answers: List<Result<ChangeBatch<String>, StoreError>>): ScriptedFeed {
        val feed = ScriptedFeed(ArrayDeque(answers))
        val follower = FeedFollower("test", feed, consumer, clock, RecordedLog().log, { 0 }, { 0 })
        runBlocking {
            repeat(answers.size) {
                follower.step()
                clock.nowMillis += 100
            }
        }
        return feed
    }

    @Test
    fun `changes are read from the end of what was read`() {
        val feed = play(listOf(batch(4, "a"), batch(6, "b", "c"), batch(6), batch(7, "d")))
        expectThat(feed.calls.toList()).isEqualTo(listOf("snapshot", "from 4", "from 6", "from 6"))
        expectThat(consumer.seen.toList())
            .isEqualTo(listOf("snapshot a", "changes b, c", "changes d"))
    }

    @Test
    fun `a lost history is replaced by a snapshot`() {
        val feed = play(listOf(batch(4, "a"), Err(StoreError.HistoryLost), batch(9, "b"), batch(9)))
        expectThat(
            feed.calls.toList()
        ).isEqualTo(listOf("snapshot", "from 4", "snapshot", "from 9"))
    }

    @Test
    fun `a failed read is repeated from the same position, and the return is told`() {
        val failure = Err(StoreError.NoAnswer("reset"))
        val feed = play(listOf(batch(4, "a"), failure, Err(StoreError.Refused(503)), batch(5, "b")))
        expectThat(feed.calls.drop(1)).isEqualTo(listOf("from 4", "from 4", "from 4"))
        expectThat(consumer.seen.toList())
            .isEqualTo(listOf("snapshot a", "regained after 200", "changes b"))
    }

    @Test
    fun `a read that hangs is replaced when the store is known to be back`() {
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
            follower.restart()
            while ("changes b" !in consumer.seen) yield()
            job.cancel()
        }
        expectThat(consumer.seen.take(2)).isEqualTo(listOf("snapshot a", "changes b"))
    }

    /** Guards against priced calls of a whole fleet to a store that refuses them. */
    @Test
    fun `waits between reads that fail as long as its owner allows`() {
        fun callsIn(maxBackoffMillis: Long): Int = runBlocking {
            val refused = List(MANY) { Err(StoreError.Refused(503)) }
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
        // The first backoffs double from 50 ms on, whatever the bound.
        expectThat(callsIn(maxBackoffMillis = 60)).isGreaterThan(15)
        expectThat(callsIn(maxBackoffMillis = 2_000)).isLessThan(7)
    }

    private companion object {
        const val MANY = 1_000
        const val OUTAGE_MILLIS = 1_500L
    }
}
