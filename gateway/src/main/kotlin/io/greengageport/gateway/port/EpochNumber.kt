package io.greengageport.gateway.port

/**
 * Numbers that the store gives out in ascending order, such as offsets, combined with the epoch of
 * its history in one value: the epoch in the high bits, the number in the low ones.
 *
 * The store gives out numbers again in a new epoch. The combined values still increase, so a value
 * of an earlier epoch is never taken for a newer one. Without epochs, they equal the numbers.
 */
public object EpochNumber {
    private const val NUMBER_BITS = 40

    /** As an offset, enough for a thousand records a second for 34 years. */
    public const val MAX_NUMBER: Long = (1L shl NUMBER_BITS) - 1

    /** Combined values stay below 2^53, up to which JSON numbers are exact. */
    public const val MAX_EPOCH: Long = (1L shl 53 - NUMBER_BITS) - 1

    /** Combines [epoch] and [number]; throws [IllegalArgumentException] if one is out of range. */
    public fun of(epoch: Long, number: Long): Long {
        require(epoch in 0..MAX_EPOCH) { "epoch $epoch is not in 0..$MAX_EPOCH" }
        require(number in 0..MAX_NUMBER) { "number $number is not in 0..$MAX_NUMBER" }
        return (epoch shl NUMBER_BITS) or number
    }

    public fun epochOf(value: Long): Long = value shr NUMBER_BITS

    public fun numberOf(value: Long): Long = value and MAX_NUMBER

    /** Returns [value] as `EPOCH/NUMBER` for log lines. */
    public fun describe(value: Long): String = "${epochOf(value)}/${numberOf(value)}"
}
