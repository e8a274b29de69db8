package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import kotlin.random.Random

/**
 * Detects parts of prompts that crash each runner that begins to write an answer on them, whatever
 * else the request contains.
 *
 * Requests with such a part come from several callers and no two are equal, so [SuspectRequests]
 * would find each of them only after it has crashed two runners. Here, each crash marks the shared
 * parts of the requests that may have caused it. A part is blocked once crashes at different times
 * have marked it for different requests, and no request with it has begun its answer in between: a
 * request that crashes runners by itself marks its parts as well, and so does a machine failure,
 * but then other requests with these parts are answered. One answer that has begun clears a part,
 * also if another instance sees it.
 *
 * Requests that crash may have several parts in common. A part is not blocked if another one was in
 * all its crashes and in further ones, or in the same crashes and later in the prompt: the first
 * parts of prompts are shared by most requests. It is then on probation, like a part whose block
 * has ended.
 *
 * The block grows with the number of requests that crashed. When it ends, one more request shows
 * whether the part still crashes runners. Not thread-safe.
 */
public class SuspectPromptParts(
    private val clock: Clock,
    private val maxParts: Int = SuspectRequests.DEFAULT_MAX_FINGERPRINTS,
    random: Random = Random.Default
) {
    /**
     * Factor on the time of a block at this instance. Instances differ in it, so that they do not
     * all try a part at the same time.
     */
    private val blockFactor = 1 + random.nextDouble()
    private val states = LinkedHashMap<Fingerprint, SuspectState>()

    /** Whether requests with [part] can run. */
    public fun verdict(part: Fingerprint): SuspectVerdict = when {
        states[part]?.marks.isNullOrEmpty() -> SuspectVerdict.CLEAR
        millisUntilUnblocked(part) > 0 -> SuspectVerdict.BLOCKED
        else -> SuspectVerdict.MARKED
    }

    /**
     * Whether [part] has crashed runners often enough to be blocked, and no answer has cleared it.
     * If it is not blocked, one request with it at a time should run until its answer has begun.
     */
    public fun isOnProbation(part: Fingerprint): Boolean =
        separateCrashes(states[part]?.marks.orEmpty()) >= CRASHES_TO_BLOCK

    /** Time in ms until requests with [part] can run; 0 if it is not blocked. */
    public fun millisUntilUnblocked(part: Fingerprint): Long {
        val marks = states[part]?.marks ?: return 0
        val crashes = separateCrashes(marks)
        if (crashes < CRASHES_TO_BLOCK || isExplainedByOther(part, marks)) return 0
        val blockMillis = BLOCK_MILLIS[minOf(crashes, MAX_CRASHES) - CRASHES_TO_BLOCK]
        val lastMillis = marks.maxOf { it.atMillis }
        val endMillis = lastMillis + (blockMillis * blockFactor).toLong()
        return maxOf(0, endMillis - clock.wallMillis())
    }

    /** The crash history of [part], or null if there is none. */
    public fun state(part: Fingerprint): SuspectState? = states[part]

    /** Marks the prompt parts of [attempt], which may have caused a crash; returns their states. */
    public fun recordCrash(attempt: SuspectRequests.MarkedAttempt): List<SuspectState> {
        val mark = SuspectMark(
            runner = attempt.runner,
            bootId = attempt.bootId,
            atMillis = attempt.lostAtMillis,
            request = attempt.fingerprint
        )
        return attempt.promptParts.mapIndexed { i, part ->
            store(SuspectState(part, listOf(mark.copy(position = i))))
        }
    }

    /**
     * Records that the answer to a request with [parts] has begun. Returns the states of the parts
     * that this clears.
     */
    public fun recordAnswer(parts: List<Fingerprint>): List<SuspectState> {
        if (states.isEmpty()) return emptyList()
        return parts.mapNotNull { part ->
            val marks = states[part]?.marks?.ifEmpty { null } ?: return@mapNotNull null
            // The wall clock may be behind that of the instance which set the last mark.
            val atMillis = maxOf(clock.wallMillis(), marks.maxOf { it.atMillis })
            store(SuspectState(part, completedAtMillis = atMillis))
        }
    }

    /** Merges a state from a peer; returns the resulting state, or null if nothing is new. */
    public fun merge(state: SuspectState): SuspectState? {
        if (state.isExpired(clock.wallMillis())) return null
        val known = states[state.fingerprint]
        return store(state).takeIf { it != known }
    }

    /** Removes expired states. */
    public fun expire() {
        val now = clock.wallMillis()
        states.values.removeIf { it.isExpired(now) }
    }

    /**
     * The number of crashes at different times, each of another incarnation of a runner and with
     * another request. Crashes within [SAME_FAILURE_MILLIS] are taken for one machine failure.
     */
    private fun separateCrashes(marks: List<SuspectMark>): Int {
        val requests = HashSet<Fingerprint?>()
        val incarnations = HashSet<Pair<RunnerId, String>>()
        var lastMillis = Long.MIN_VALUE / 2
        for (mark in marks.sortedBy { it.atMillis }) {
            if (mark.atMillis - lastMillis < SAME_FAILURE_MILLIS) continue
            if (mark.request in requests || mark.runner to mark.bootId in incarnations) continue
            requests += mark.request
            incarnations += mark.runner to mark.bootId
            lastMillis = mark.atMillis
        }
        return requests.size
    }

    /** Whether another part explains the crashes of [part], which has [marks], better. */
    private fun isExplainedByOther(part: Fingerprint, marks: List<SuspectMark>): Boolean {
        val crashes = incarnations(marks)
        val position = marks.maxOf { it.position }
        return states.any { (other, state) ->
            val others = incarnations(state.marks)
            other != part && others.containsAll(crashes) &&
                (others.size > crashes.size || state.marks.maxOf { it.position } > position)
        }
    }

    private fun incarnations(marks: List<SuspectMark>): Set<Pair<RunnerId, String>> =
        marks.mapTo(HashSet()) { it.runner to it.bootId }

    private fun store(state: SuspectState): SuspectState {
        val known = states.remove(state.fingerprint) ?: SuspectState(state.fingerprint)
        val merged = known.merge(state)
        if (states.size >= maxParts) states.remove(states.keys.first())
        states[state.fingerprint] = merged
        return merged
    }

    public companion object {
        /** Crashes of different requests that block a part. */
        public const val CRASHES_TO_BLOCK: Int = 2

        /**
         * Block by the number of crashes from [CRASHES_TO_BLOCK] on. The first is short, since
         * unrelated failures may have hit two requests with a sound part.
         */
        public val BLOCK_MILLIS: List<Long> = listOf(10_000, 60_000, 600_000)
        private val MAX_CRASHES = CRASHES_TO_BLOCK + BLOCK_MILLIS.size - 1

        /** A failed machine or rack loses its runners within some tens of milliseconds. */
        public const val SAME_FAILURE_MILLIS: Long = 100
    }
}
