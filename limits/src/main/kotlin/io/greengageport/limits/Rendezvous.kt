package io.greengageport.limits

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName

/**
 * Rendezvous hashing: the aggregator of an organisation is the live instance with the highest hash
 * of both names. When an instance joins or leaves, only its own organisations move.
 */
internal class Rendezvous(live: Collection<InstanceId>) {
    private val members = live.sorted()
    private val hashes = LongArray(members.size) { hash(members[it].value) }

    fun owner(organisation: OrganisationName): InstanceId {
        val key = hash(organisation.value)
        return members[members.indices.maxBy { mix64(hashes[it] xor key) }]
    }

    companion object {
        private const val FNV_OFFSET = -0x340d631b7bdddcdbL
        private const val FNV_PRIME = 0x100000001b3L

        /** FNV-1a; stable across processes. */
        fun hash(text: String): Long =
            text.fold(FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME }
    }
}
