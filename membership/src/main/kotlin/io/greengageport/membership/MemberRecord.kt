package io.greengageport.membership

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.Member
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** State of a member; of records with equal boot and incarnation, the later constant wins. */
internal enum class MemberState { ALIVE, SUSPECT, LEAVING, FAILED }

/**
 * The state of a member as reported by some instance.
 *
 * Records of a member are ordered by [boot], [incarnation] and [state]; the highest wins. [boot] is
 * the wall clock at start in milliseconds. An instance that receives a higher boot under its own id
 * adopts that value plus one, so a wall clock that was set back does not hide a restart. Only the
 * member itself raises its incarnation.
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

    /** True unless the member failed or left. */
    val isLive: Boolean get() = state != MemberState.FAILED

    fun with(state: MemberState): MemberRecord = copy(stateCode = state.ordinal)

    fun toMember(): Member = Member(id, address, dataCentre, state == MemberState.LEAVING)

    /** Hash of the fields that peers must agree on, for the anti-entropy digest. */
    fun fingerprint(): Long =
        Hash64.of("$id|$address").mix(boot).mix(incarnation).mix(stateCode.toLong()).value

    override fun compareTo(other: MemberRecord): Int =
        compareValuesBy(this, other, { it.boot }, { it.incarnation }, { it.stateCode })
}

/** A 64-bit FNV-1a hash with a final mixing step; the same in every process. */
@JvmInline
internal value class Hash64(val value: Long) {
    /** Combines this hash with [next]; the order matters. */
    fun mix(next: Long): Hash64 {
        val x = (value xor next) * MULTIPLIER
        return Hash64((x xor (x ushr 32)) * MULTIPLIER)
    }

    fun bucket(bucketCount: Int): Int = Math.floorMod(value, bucketCount.toLong()).toInt()

    companion object {
        private const val OFFSET = -0x340d631b7bdddcdbL
        private const val PRIME = 0x100000001b3L
        private const val MULTIPLIER = -0x61c8864680b583ebL

        fun of(text: String): Hash64 = of(text.encodeToByteArray())

        fun of(bytes: ByteArray): Hash64 = Hash64(
            bytes.fold(OFFSET) { hash, byte -> (hash xor byte.toLong()) * PRIME }
        ).mix(0)
    }
}
