package io.greengageport.ledger

import kotlin.random.Random

/**
 * Makes [random] thread-safe.
 *
 * Seeded generators are not thread-safe: two threads could draw the same claim id and would then
 * share one claim.
 */
internal class LockedRandom(private val random: Random) : Random() {
    @Synchronized
    override fun nextBits(bitCount: Int): Int = random.nextBits(bitCount)

    @Synchronized
    override fun nextLong(): Long = random.nextLong()
}
