package io.greengageport.ledger

import kotlin.random.Random

/**
 * Makes [random] safe for several threads.
 *
 * Seeded generators are not; two threads that draw the same claim id would share one claim.
 */
internal class LockedRandom(private val random: Random) : Random() {
    @Synchronized
    override fun nextBits(bitCount: Int): Int = random.nextBits(bitCount)

    @Synchronized
    override fun nextLong(): Long = random.nextLong()
}
