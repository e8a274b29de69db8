package io.greengageport.routing

import io.greengageport.common.OrganisationName
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import java.security.MessageDigest
import kotlinx.serialization.Serializable

/** Identifies equal requests: a hash over organisation, service and body. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) : Comparable<Fingerprint> {
    override fun compareTo(other: Fingerprint): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val BYTES = 16

        /** The first 128 bits of SHA-256 in hexadecimal; the names are separated by a zero byte. */
        public fun of(
            organisation: OrganisationName,
            service: ServiceName,
            body: ByteArray
        ): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("${organisation.value}\u0000${service.value}\u0000".toByteArray())
            return Fingerprint(
                digest.digest(body).take(BYTES).joinToString("") { "%02x".format(it) }
            )
        }
    }
}

/** Whether a request may run. */
public enum class SuspectVerdict {
    CLEAR,

    /** It may run, but not beside another marked request. */
    MARKED,

    /** It is refused: it crashed two runners. */
    BLOCKED
}

/**
 * A crash of [runner] at [atMillis] of the wall clock while the request was in flight on it and its
 * answer had [tokens] tokens. The mark is uncertain if the runner may have ended before the request
 * reached it.
 */
@Serializable
public data class SuspectMark(
    val runner: RunnerId,
    val bootId: String,
    val atMillis: Long,
    val tokens: Int = 0,
    val isUncertain: Boolean = false
)

/**
 * What is known of one fingerprint: at most one mark per runner, and the time of the last complete
 * answer, which voids earlier marks.
 *
 * [merge] is commutative, associative and idempotent, so gossip may deliver states in any order
 * and more than once. Marks and blocks follow from the state and the time; nothing else is kept.
 */
@Serializable
public data class SuspectState(
    val fingerprint: Fingerprint,
    val marks: List<SuspectMark> = emptyList(),
    val completedAtMillis: Long = 0
) {
    /** The newest time in the state; the version under which gossip publishes it. */
    public val version: Long
        get() = maxOf(completedAtMillis, marks.maxOfOrNull { it.atMillis } ?: 0)

    /** The least state that holds all that this one and [other] hold. */
    public fun merge(other: SuspectState): SuspectState {
        require(other.fingerprint == fingerprint) { "states of two fingerprints do not merge" }
        val completed = maxOf(completedAtMillis, other.completedAtMillis)
        val newest = (marks + other.marks).filter { it.atMillis > completed }
            .groupBy { it.runner }.values.map { it.maxWith(AGE) }
        return SuspectState(fingerprint, newest.sortedWith(AGE).takeLast(MAX_MARKS), completed)
    }

    /** What the state means at [nowMillis] of the wall clock. */
    public fun verdict(nowMillis: Long): SuspectVerdict = when {
        nowMillis < blockedUntil() -> SuspectVerdict.BLOCKED
        marks.any { nowMillis - it.atMillis < MARK_MILLIS } -> SuspectVerdict.MARKED
        else -> SuspectVerdict.CLEAR
    }

    /** Whether the state says nothing any more. */
    public fun isExpired(nowMillis: Long): Boolean = nowMillis - version >= BLOCK_MILLIS

    /** The marks are on different runners; two block if the first was in force at the second. */
    private fun blockedUntil(): Long = marks.sortedWith(AGE).zipWithNext()
        .filter { (first, second) -> second.atMillis - first.atMillis < MARK_MILLIS }
        .maxOfOrNull { it.second.atMillis + BLOCK_MILLIS } ?: 0

    public companion object {
        public const val MARK_MILLIS: Long = 600_000
        public const val BLOCK_MILLIS: Long = 3_600_000
        private const val MAX_MARKS = 4
        private val AGE =
            compareBy<SuspectMark>(
                { it.atMillis },
                { it.bootId },
                { it.runner.value },
                { !it.isUncertain }
            )
    }
}
