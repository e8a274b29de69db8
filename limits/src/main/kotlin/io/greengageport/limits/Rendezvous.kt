package io.greengageport.limits

import io.greengageport.common.InstanceId

/**
 * Rendezvous hashing: the owner of a key, such as the aggregator of an organisation, is the live
 * instance with the highest hash of both names. When an instance joins or leaves, only its own keys
 * move.
 *
 * ```
 * Rendezvous(live).owner(organisation.value)
 * ```
 */
public class Rendezvous(live: Collection<InstanceId>) {
    private val members = live.sorted()
    private val hashes = LongArray(members.size) { hash(members[it].value) }

    /** The owner of [key]; there has to be a live instance. */
    public fun owner(key: String): InstanceId {
        val hash = hash(key)
        return members[members.indices.maxBy { mix64(hashes[it] xor hash) }]
    }

    internal companion object {
        private const val FNV_OFFSET = -0x340d631b7bdddcdbL
        private const val FNV_PRIME = 0x100000001b3L

        /** FNV-1a; stable across processes. */
        fun hash(text: String): Long =
            text.fold(FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME }
    }
}
