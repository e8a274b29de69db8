package io.greengageport.gateway.port

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Guards against reads that wait behind lost records after the first restore of a store. */
class StoreEpochTest {
    private val restoredAfter = ArrayList<Long>()
    private val epoch = StoreEpoch().also {
        it.onRestored { previous -> restoredAfter += previous }
    }

    @Test
    fun `a store that counts its epochs from zero is restored too`() {
        epoch.observe(0)
        epoch.observe(1)
        expectThat(restoredAfter).containsExactly(0L)
    }

    @Test
    fun `the first epoch that a response states is no restore`() {
        epoch.observe(3)
        expectThat(restoredAfter).isEmpty()
    }
}
