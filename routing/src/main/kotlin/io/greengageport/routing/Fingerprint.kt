package io.greengageport.routing

import io.greengageport.common.OrganisationName
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import java.security.MessageDigest
import kotlinx.serialization.Serializable

/**
 * A hash of organisation, service and body that identifies equal requests, or a hash of a service
 * and a part of a prompt that identifies the requests that share this part.
 */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) : Comparable<Fingerprint> {
    override fun compareTo(other: Fingerprint): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val BYTES = 16

        /**
         * Returns the first 128 bits of a SHA-256 hash, in hexadecimal; a zero byte follows each
         * name, so that names cannot run into each other or into the body.
         */
        public fun of(
            organisation: OrganisationName,
            service: ServiceName,
            body: ByteArray
        ): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("${organisation.value}\u0000${service.value}\u0000".toByteArray())
            return fingerprint(digest, body)
        }

        /** Returns the fingerprint of the prompt part [id] at [service]. */
        public fun ofPromptPart(service: ServiceName, id: String): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("part\u0000${service.value}\u0000".toByteArray())
            return fingerprint(digest, id.toByteArray())
        }

        private fun fingerprint(digest: MessageDigest, last: ByteArray) =
            Fingerprint(digest.digest(last).take(BYTES).joinToString("") { "%02x".format(it) })
    }
}

/** Whether a request is allowed to run. */
public enum class SuspectVerdict {
    /** It can run without restrictions. */
    CLEAR,

    /** It can run, but not on a runner with another marked request. */
    MARKED,

    /** It is refused, because it crashed two runners, or because other requests with it did. */
    BLOCKED
}

/**
 * Records that [runner] crashed at [atMillis] of the wall clock while the request was in flight on
 * it and its answer had [tokens] tokens. The mark is uncertain if the runner may have terminated
 * before the request reached it. In the state of a prompt part, [request] is the request with this
 * part that was in flight, and [position] the number of parts before this one; otherwise [request]
 * is null.
 */
@Serializable
public data class SuspectMark(
    val runner: RunnerId,
    val bootId: String,
    val atMillis: Long,
    val tokens: Int = 0,
    val isUncertain: Boolean = false,
    val request: Fingerprint? = null,
    val position: Int = 0
)

/**
 * The crash history of one fingerprint: at most one mark per runner, or for a prompt part per
 * incarnation of a runner, and the time of the last complete answer, which invalidates earlier
 * marks.
 *
 * [merge] is commutative, associative and idempotent, so gossip may deliver states in any order
 * and more than once. The verdict is derived from the state and the current time only.
 */
@Serializable
public data class SuspectState(
    val fingerprint: Fingerprint,
    val marks: List<SuspectMark> = emptyList(),
    val completedAtMillis: Long = 0
) {
    /** The newest time in the state, which gossip uses as its version. */
    public val version: Long
        get() = maxOf(completedAtMillis, marks.maxOfOrNull { it.atMillis } ?: 0)

    /** Returns the join of this state and [other], a state of the same fingerprint. */
    public fun merge(other: SuspectState): SuspectState {
        require(other.fingerprint == fingerprint) { "cannot merge states of two fingerprints" }
        val completed = maxOf(completedAtMillis, other.completedAtMillis)
        val newest = (marks + other.marks).filter { it.atMillis > completed }
            .groupBy {
                it.runner to it.bootId.takeIf { _ -> it.request != null }
            }.values.map { it.maxWith(AGE) }
        return SuspectState(fingerprint, newest.sortedWith(AGE).takeLast(MAX_MARKS), completed)
    }

    /** Returns the verdict at [nowMillis] of the wall clock. */
    public fun verdict(nowMillis: Long): SuspectVerdict = when {
        nowMillis < blockedUntilMillis() -> SuspectVerdict.BLOCKED
        marks.any { nowMillis - it.atMillis < MARK_MILLIS } -> SuspectVerdict.MARKED
        else -> SuspectVerdict.CLEAR
    }

    /** Whether the state has expired, so that it no longer affects any verdict. */
    public fun isExpired(nowMillis: Long): Boolean = nowMillis - version >= BLOCK_MILLIS

    /**
     * The end of the latest block, by the wall clock; 0 if there is none. Marks are on different
     * runners, and two block the request if the first had not expired at the time of the second.
     */
    private fun blockedUntilMillis(): Long = marks.sortedWith(AGE).zipWithNext()
        .filter { (first, second) -> second.atMillis - first.atMillis < MARK_MILLIS }
        .maxOfOrNull { it.second.atMillis + BLOCK_MILLIS } ?: 0

    public companion object {
        /** Time after which a mark expires. */
        public const val MARK_MILLIS: Long = 600_000

        /** Time after the last mark for which a request is blocked. */
        public const val BLOCK_MILLIS: Long = 3_600_000
        private const val MAX_MARKS = 4
        private val AGE =
            compareBy<SuspectMark>(
                { it.atMillis },
                { it.bootId },
                { it.runner.value },
                { !it.isUncertain },
                { it.request?.value.orEmpty() },
                { it.position }
            )
    }
}
