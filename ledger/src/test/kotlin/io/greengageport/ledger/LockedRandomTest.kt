package io.greengageport.ledger

import java.util.stream.IntStream
import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LockedRandomTest {
    /** Guards against duplicate claim ids, which made a call miss the result of its claim. */
    @Test
    fun `concurrent threads draw distinct numbers`() {
        val random = LockedRandom(Random(5))
        val drawn = IntStream.range(0, 400_000).parallel().mapToLong { random.nextLong() }
        expectThat(drawn.distinct().count()).isEqualTo(400_000)
    }
}
