package io.greengageport.limits

import io.greengageport.common.InstanceId

/**
 * Rendezvous hashing: assigns each key, such as the name of an organisation, to the live instance
 * with the highest combined hash of instance and key. When an instance joins or leaves, only the
 * keys that it owns are reassigned.
 *
 * ```
 * Rendezvous(live).owner(organisation.value)
 * ```
 */
public class Rendezvous(live: Collection<InstanceId>) {
    private val members = live.sorted()
    private val hashes = LongArray(members.size) { hash(members[it].value) }

    /** The owner of [key]; throws [NoSuchElementException] if there is no live instance. */
    public fun owner(key: String): InstanceId {
        val hash = hash(key)
        return members[members.indices.maxBy { mix64(hashes[it] xor hash) }]
    }

    internal companion object {
        private const val FNV_OFFSET = -0x340d631b7bdddcdbL
        private const val FNV_PRIME = 0x100000001b3L

        /** The 64-bit FNV-1a hash of [text]; stable across processes. */
        fun hash(text: String): Long =
            text.fold(FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME }
    }
}
