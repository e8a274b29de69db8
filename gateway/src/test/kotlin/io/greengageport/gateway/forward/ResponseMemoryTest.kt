package io.greengageport.gateway.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isTrue

/** Guards against responses that exhaust the memory, and against requests that wait for it forever. */
class ResponseMemoryTest {
    private val memory = ResponseMemory(capacityBytes = 10)
    private val granted = ArrayList<String>()

    private fun CoroutineScope.reserve(
        name: String,
        bytes: Long,
        reservation: ResponseMemory.Reservation = memory.Reservation()
    ): Pair<ResponseMemory.Reservation, Job> {
        val job = launch(start = CoroutineStart.UNDISPATCHED) {
            reservation.reserve(bytes)
            granted += name
        }
        return reservation to job
    }

    @Nested
    inner class `A reservation` {
        @Test
        fun `waits until enough is released, in order of arrival`() = runBlocking {
            val (first, _) = reserve("first", 8)
            val (second, _) = reserve("second", 6)
            // It would fit, but large responses would then wait as long as small ones arrive.
            val (third, _) = reserve("third", 2)
            expectThat(granted).containsExactly("first")
            first.close()
            yield()
            expectThat(granted).containsExactly("first", "second", "third")
            second.close()
            third.close()
        }

        @Test
        fun `of a caller that left does not block the next one`() = runBlocking {
            val (first, _) = reserve("first", 8)
            val (_, waiting) = reserve("waiting", 6)
            reserve("last", 2)
            waiting.cancel()
            yield()
            expectThat(granted).containsExactly("first", "last")
            first.close()
        }

        /** Guards against memory that stays reserved for a caller that leaves as it is granted. */
        @Test
        fun `that is cancelled after it was granted is released by its owner`() = runBlocking {
            val (first, _) = reserve("first", 10)
            val (second, waiting) = reserve("second", 10)
            first.close()
            waiting.cancel()
            waiting.join()
            second.close()
            val (_, last) = reserve("last", 10)
            expectThat(last.isCompleted).isTrue()
        }

        /** Guards against requests that each hold a part of the memory and wait for more. */
        @Test
        fun `for another attempt releases that of the earlier attempt first`() = runBlocking {
            val (first, _) = reserve("first", 5)
            val (second, _) = reserve("second", 5)
            reserve("first again", 8, first)
            reserve("second again", 5, second)
            yield()
            expectThat(granted).containsExactly("first", "second", "first again")
            first.close()
            yield()
            expectThat(granted)
                .containsExactly("first", "second", "first again", "second again")
        }
    }

    @Nested
    inner class `Two attempts of a request` {
        private fun CoroutineScope.reserveFor(
            name: String,
            bytes: Long,
            share: ResponseMemory.RequestShare
        ) = reserve(name, bytes, memory.Reservation(share))

        /** Guards against a reservation that is lost when both attempts wait at the same time. */
        @Test
        fun `release all that they waited for`() = runBlocking {
            val share = ResponseMemory.RequestShare()
            val (first, _) = reserve("first", 10)
            val attempts = listOf("a", "b").map { reserveFor(it, 5, share).first }
            first.close()
            yield()
            expectThat(granted).containsExactly("first", "a", "b")
            attempts.forEach { it.close() }
            val (_, last) = reserve("last", 10)
            expectThat(last.isCompleted).isTrue()
        }

        /** Guards against requests that each hold memory for one attempt and wait for the other. */
        @Test
        fun `do not wait for others while one of them holds memory`() = runBlocking {
            val shares = List(2) { ResponseMemory.RequestShare() }
            val held = shares.map { reserveFor("held", 5, it).first }
            val added = shares.map { reserveFor("added", 5, it).first }
            expectThat(granted).containsExactly("held", "held", "added", "added")
            // Others wait until the memory that exceeds the capacity is released too.
            val (last, _) = reserve("last", 1)
            held.forEach { it.close() }
            yield()
            expectThat(granted).containsExactly("held", "held", "added", "added")
            added.first().close()
            yield()
            expectThat(granted).containsExactly("held", "held", "added", "added", "last")
            last.close()
        }
    }
}
