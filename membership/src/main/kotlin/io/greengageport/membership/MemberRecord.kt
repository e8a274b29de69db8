package io.greengageport.membership

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.Member
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** State of a member; at equal boot and incarnation the later constant takes precedence. */
internal enum class MemberState { ALIVE, SUSPECT, LEAVING, FAILED }

/**
 * What one instance says about another.
 *
 * Records of a member are ordered by [boot], [incarnation] and [state]. The boot id is the wall
 * clock at start; an instance that meets a higher one under its own id takes the next higher, so a
 * wall clock that went back does not hide a restarted instance. Only the member itself raises its
 * incarnation.
 */
@Serializable
@CborArray
internal data class MemberRecord(
    val id: InstanceId,
    val address: String,
    val dataCentre: DataCentre,
    val boot: Long,
    val incarnation: Long,
    val stateCode: Int
) : Comparable<MemberRecord> {
    init {
        require(stateCode in MemberState.entries.indices) { "unknown member state $stateCode" }
    }

    val state: MemberState get() = MemberState.entries[stateCode]

    val isLive: Boolean get() = state != MemberState.FAILED

    fun with(state: MemberState): MemberRecord = copy(stateCode = state.ordinal)

    fun toMember(): Member = Member(id, address, dataCentre, state == MemberState.LEAVING)

    fun fingerprint(): Long =
        Hash64.of("$id|$address").mix(boot).mix(incarnation).mix(stateCode.toLong()).value

    override fun compareTo(other: MemberRecord): Int =
        compareValuesBy(this, other, { it.boot }, { it.incarnation }, { it.stateCode })
}

/** A 64-bit FNV-1a hash with a final mix, equal in every process. */
@JvmInline
internal value class Hash64(val value: Long) {
    fun mix(next: Long): Hash64 {
        val x = (value xor next) * MULTIPLIER
        return Hash64((x xor (x ushr 32)) * MULTIPLIER)
    }

    fun bucket(buckets: Int): Int = Math.floorMod(value, buckets.toLong()).toInt()

    companion object {
        private const val OFFSET = -0x340d631b7bdddcdbL
        private const val PRIME = 0x100000001b3L
        private const val MULTIPLIER = -0x61c8864680b583ebL

        fun of(text: String): Hash64 = of(text.encodeToByteArray())

        fun of(bytes: ByteArray): Hash64 =
            Hash64(bytes.fold(OFFSET) { hash, byte -> (hash xor byte.toLong()) * PRIME }).mix(0)
    }
}
