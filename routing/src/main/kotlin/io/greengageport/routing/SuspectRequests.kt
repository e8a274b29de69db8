package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId

/**
 * Detects requests that crash runners, and prevents them from crashing more runners.
 *
 * A runner counts as crashed if a connection to it is lost and a new one is then refused, or if it
 * reports a new boot id, unless it announced that it is leaving. The requests in flight on it are
 * suspects. Suspects that already have a mark get another one. Only if there are none, all suspects
 * get their first mark, so that a request is not marked for sharing a runner with a marked one. A
 * request gets at most one mark per attempt: the stages after the one that it crashes do not run
 * it, so the loss of several stages of its chain has another cause.
 *
 * A marked request must not share a runner with another marked one until its answer has passed the
 * token at which the runner crashed ([recordProgress]). If several requests that passed it are on a
 * runner that crashes, a machine failure is the more likely cause: they get no new mark, but must
 * not share a runner again. Thread-safe.
 *
 * A mark from a later stage is uncertain if the attempt had not produced a token, because that
 * stage may have terminated before the request reached it. An uncertain mark is dropped once the
 * answer has passed its token on other runners.
 *
 * Unless [canCrashAfterFirstToken], a request crashes runners only when they begin to write its
 * answer. A request whose answer has [PASSING_TOKENS] tokens, from this attempt or an earlier one,
 * is then no suspect, which matters because the first stage of a chain runs dozens of requests.
 * [onMark] is called for each attempt that may have caused a crash, also if its request gets no
 * mark.
 *
 * ```
 * if (!suspects.tryStart(id, fingerprint, chain)) {
 *     planAgain(runnersWithMarkedRequests = suspects.runnersWithMarkedRequests())
 * }
 * suspects.recordRefusedConnection(runner).forEach { gossip(it) }
 * ```
 */
public class SuspectRequests(
    private val clock: Clock,
    private val maxFingerprints: Int = DEFAULT_MAX_FINGERPRINTS,
    private val canCrashAfterFirstToken: Boolean = true,
    private val onMark: (MarkedAttempt) -> Unit = {}
) {
    /**
     * An attempt that may have caused a crash of [runner], the incarnation [bootId], whose
     * connection was lost at [lostAtMillis] of the wall clock. [promptParts] are as passed to
     * [tryStart].
     */
    public class MarkedAttempt(
        public val fingerprint: Fingerprint,
        public val promptParts: List<Fingerprint>,
        public val runner: RunnerId,
        public val bootId: String,
        public val lostAtMillis: Long
    )

    private class ActiveAttempt(
        val fingerprint: Fingerprint,
        val promptParts: List<Fingerprint>,
        val runners: List<RunnerId>,
        val startedAtMillis: Long,
        val tokens: () -> Int
    ) {
        /** Number of tokens in the answer before the attempt. */
        val tokensBefore = tokens()

        /** Whether the request was marked for this attempt. */
        var isMarked = false
    }

    /** An attempt on a runner when the connection to it was lost, with the tokens up to then. */
    private class SuspectAttempt(val attempt: ActiveAttempt, val tokens: Int) {
        /**
         * Whether the request may have run on [runner], whose latest load report is from
         * [aliveAtMillis]. A first stage has accepted the request; a later stage may have
         * terminated long before.
         */
        fun canHaveRunOn(runner: RunnerId, aliveAtMillis: Long?): Boolean = hasRunOn(runner) ||
            aliveAtMillis == null ||
            attempt.startedAtMillis - aliveAtMillis <= MAX_REPORT_AGE_MILLIS

        /** Whether the request certainly reached [runner] before it terminated. */
        fun hasRunOn(runner: RunnerId): Boolean =
            runner == attempt.runners.first() || tokens > attempt.tokensBefore
    }

    private class LostConnection(val suspects: List<SuspectAttempt>, val atMillis: Long)

    private val states = LinkedHashMap<Fingerprint, SuspectState>()
    private val activeAttempts = HashMap<RequestId, ActiveAttempt>()
    private val lostConnections = HashMap<RunnerId, LostConnection>()
    private val bootIds = HashMap<RunnerId, String>()
    private val crashedBootIds = HashMap<RunnerId, String>()

    /** Times of the latest load reports, by the wall clock. */
    private val lastReportMillis = HashMap<RunnerId, Long>()
    private val leavingRunners = HashSet<RunnerId>()

    /** Marked fingerprints whose answer has passed the token at which the runner crashed. */
    private val passedCrash = HashSet<Fingerprint>()

    /** Returns whether requests with this fingerprint are allowed to run. */
    @Synchronized
    public fun verdict(fingerprint: Fingerprint): SuspectVerdict =
        states[fingerprint]?.verdict(clock.wallMillis()) ?: SuspectVerdict.CLEAR

    /** Returns the runners on which this instance runs a marked request before its crash token. */
    @Synchronized
    public fun runnersWithMarkedRequests(): Set<RunnerId> {
        // Fast path: this is called for each request, and usually there are no marks.
        if (states.isEmpty()) return emptySet()
        return activeAttempts.values
            .filter { it.fingerprint !in passedCrash }
            .filter { verdict(it.fingerprint) != SuspectVerdict.CLEAR }
            .flatMap { it.runners }.toSet()
    }

    /**
     * Registers an attempt of a request that is about to run on [runners]. Returns false and
     * registers nothing if the request is blocked, or if it is marked and one of the runners is in
     * [runnersWithMarkedRequests]. [tokens] returns the current number of tokens in its answer, and
     * [promptParts] are the parts of its prompt that other requests share.
     */
    @Synchronized
    public fun tryStart(
        request: RequestId,
        fingerprint: Fingerprint,
        runners: List<RunnerId>,
        promptParts: List<Fingerprint> = emptyList(),
        tokens: () -> Int = { 0 }
    ): Boolean {
        val isAllowed = when (verdict(fingerprint)) {
            SuspectVerdict.CLEAR -> true

            SuspectVerdict.MARKED ->
                runnersWithMarkedRequests().let { busy -> runners.none { it in busy } }

            SuspectVerdict.BLOCKED -> false
        }
        if (isAllowed) {
            // Each attempt must pass the token of the crash again.
            passedCrash -= fingerprint
            activeAttempts[request] =
                ActiveAttempt(fingerprint, promptParts, runners, clock.wallMillis(), tokens)
        }
        return isAllowed
    }

    /**
     * Records that the answer to [request] has [tokens] tokens. Returns whether it is past the
     * token of each crash by at least [PASSING_TOKENS], and true if the request is not registered.
     */
    @Synchronized
    public fun recordProgress(request: RequestId, tokens: Int): Boolean {
        val fingerprint = activeAttempts[request]?.fingerprint ?: return true
        val marks = states[fingerprint]?.marks.orEmpty()
        val isPast = marks.all { tokens >= it.tokens + PASSING_TOKENS }
        if (isPast && verdict(fingerprint) == SuspectVerdict.MARKED) {
            if (marks.all { it.isUncertain }) {
                store(SuspectState(fingerprint, completedAtMillis = clock.wallMillis()))
            } else {
                passedCrash += fingerprint
            }
        }
        return isPast
    }

    /**
     * Records that [request] got its complete answer. Returns the state to publish if this clears a
     * mark, or else null.
     */
    @Synchronized
    public fun recordCompletion(request: RequestId): SuspectState? {
        val fingerprint = activeAttempts.remove(request)?.fingerprint ?: return null
        val now = clock.wallMillis()
        if (verdict(fingerprint) == SuspectVerdict.CLEAR) return null
        return store(SuspectState(fingerprint, completedAtMillis = now))
    }

    /** Records that the request or its attempt ended without a complete answer. */
    @Synchronized
    public fun recordEnd(request: RequestId) {
        activeAttempts.remove(request)
    }

    /**
     * Records a lost connection to [runner]; call before [recordEnd] for the requests on it.
     * Returns false if an earlier loss is recorded already.
     */
    @Synchronized
    public fun recordLostConnection(runner: RunnerId): Boolean {
        val now = clock.wallMillis()
        val earlier = lostConnections[runner]?.takeIf { now - it.atMillis < EVIDENCE_MILLIS }
        // Requests sent after the first loss may have reached a runner that had terminated.
        if (earlier == null) lostConnections[runner] = LostConnection(attemptsOn(runner, now), now)
        return earlier == null
    }

    /** Discards the lost connection to [runner], because its cause is not at the runner. */
    @Synchronized
    public fun withdrawLostConnection(runner: RunnerId) {
        lostConnections.remove(runner)
    }

    /**
     * Discards the connections lost since [sinceMillis] of the wall clock, because their common
     * cause is not at the runners.
     */
    @Synchronized
    public fun withdrawLostConnections(sinceMillis: Long) {
        lostConnections.values.removeIf { it.atMillis >= sinceMillis }
    }

    /**
     * Records a refused connection to [runner] and returns the new marks to publish. A refusal is a
     * crash only after a lost connection, since the runner may have been stopped.
     */
    @Synchronized
    public fun recordRefusedConnection(runner: RunnerId): List<SuspectState> {
        val record = lostConnections.remove(runner) ?: return emptyList()
        val now = clock.wallMillis()
        if (runner in leavingRunners || now - record.atMillis >= EVIDENCE_MILLIS) return emptyList()
        val boot = bootIds[runner].orEmpty()
        // A process crashes only once; requests sent to it afterwards are not suspects.
        if (boot.isNotEmpty() && crashedBootIds.put(runner, boot) == boot) return emptyList()
        return recordCrash(runner, boot, record.suspects, lastReportMillis[runner], record.atMillis)
    }

    /**
     * Records that several stages of a chain refused connections at the same time. A request
     * crashes only one stage per attempt, so this is a machine failure and marks no request.
     */
    @Synchronized
    public fun recordMachineFailure(runners: Collection<RunnerId>) {
        for (r in runners) {
            lostConnections.remove(r)
            bootIds[r]?.let { crashedBootIds[r] = it }
        }
    }

    /** Records that [runner] announced that it is leaving; refused connections are no crash. */
    @Synchronized
    public fun recordLeaving(runner: RunnerId) {
        leavingRunners += runner
        lostConnections.remove(runner)
    }

    /**
     * Records that [runner] reported [bootId] at [atMillis] of the wall clock, and returns the new
     * marks to publish if the boot id shows a crash.
     */
    @Synchronized
    public fun recordBootId(runner: RunnerId, bootId: String, atMillis: Long): List<SuspectState> {
        if (bootId.isEmpty()) return emptyList()
        val previous = bootIds.put(runner, bootId)
        val aliveBefore = lastReportMillis[runner]
        lastReportMillis[runner] = maxOf(atMillis, aliveBefore ?: atMillis)
        if (previous == bootId) {
            // The process is still running, so the lost connection was no crash.
            lostConnections[runner]?.takeIf { atMillis > it.atMillis }
                ?.let { lostConnections.remove(runner) }
            return emptyList()
        }
        val isPlanned = leavingRunners.remove(runner)
        val record = lostConnections.remove(runner)
        if (previous == null || isPlanned || crashedBootIds.remove(runner) == previous) {
            return emptyList()
        }
        val recent = record?.takeIf { clock.wallMillis() - it.atMillis < EVIDENCE_MILLIS }
        val suspects = recent?.suspects ?: attemptsOn(runner, atMillis)
        val lostAtMillis = recent?.atMillis ?: atMillis
        return recordCrash(runner, previous, suspects, aliveBefore, lostAtMillis)
    }

    /** The crash history of [fingerprint], or null if there is none. */
    @Synchronized
    public fun state(fingerprint: Fingerprint): SuspectState? = states[fingerprint]

    /** Merges a state from gossip; returns the state to publish if this instance knows more. */
    @Synchronized
    public fun merge(state: SuspectState): SuspectState? {
        if (state.isExpired(clock.wallMillis())) return null
        return store(state).takeIf { it != state }
    }

    /** Removes expired states and returns how many are left. */
    @Synchronized
    public fun expire(): Int {
        val now = clock.wallMillis()
        states.values.removeIf { it.isExpired(now) }
        passedCrash.retainAll(states.keys)
        return states.size
    }

    /** Removes all data about a runner that left the fleet. */
    @Synchronized
    public fun forget(runner: RunnerId) {
        lostConnections.remove(runner)
        bootIds.remove(runner)
        lastReportMillis.remove(runner)
        crashedBootIds.remove(runner)
        leavingRunners.remove(runner)
    }

    private fun attemptsOn(runner: RunnerId, untilMillis: Long): List<SuspectAttempt> =
        activeAttempts.values
            .filter { runner in it.runners && it.startedAtMillis <= untilMillis }
            .map { SuspectAttempt(it, it.tokens()) }

    private fun recordCrash(
        runner: RunnerId,
        bootId: String,
        suspects: List<SuspectAttempt>,
        aliveAtMillis: Long?,
        lostAtMillis: Long
    ): List<SuspectState> {
        val now = clock.wallMillis()
        val unmarked = suspects
            .filter { canCrashAfterFirstToken || it.tokens < PASSING_TOKENS }
            .filter { !it.attempt.isMarked && it.canHaveRunOn(runner, aliveAtMillis) }
            .groupBy { it.attempt.fingerprint }
        for ((fingerprint, attempts) in unmarked) {
            for (a in attempts) {
                onMark(
                    MarkedAttempt(fingerprint, a.attempt.promptParts, runner, bootId, lostAtMillis)
                )
            }
        }
        return selectToMark(unmarked.keys).sorted().map { fingerprint ->
            val attempts = unmarked.getValue(fingerprint)
            attempts.forEach { it.attempt.isMarked = true }
            val mark = SuspectMark(
                runner = runner,
                bootId = bootId,
                atMillis = now,
                tokens = attempts.maxOf { it.tokens },
                isUncertain = attempts.none { it.hasRunOn(runner) }
            )
            store(SuspectState(fingerprint, listOf(mark)))
        }
    }

    private fun selectToMark(suspects: Set<Fingerprint>): Set<Fingerprint> {
        val marked = suspects.filter { verdict(it) != SuspectVerdict.CLEAR }
        val notPassed = marked.filter { it !in passedCrash }
        return when {
            marked.isEmpty() -> suspects

            notPassed.isNotEmpty() -> notPassed.toSet()

            marked.size == 1 -> marked.toSet()

            else -> {
                passedCrash -= marked.toSet()
                emptySet()
            }
        }
    }

    private fun store(state: SuspectState): SuspectState {
        val known = states.remove(state.fingerprint) ?: SuspectState(state.fingerprint)
        val merged = known.merge(state)
        if (states.size >= maxFingerprints) states.remove(states.keys.first())
        states[state.fingerprint] = merged
        return merged
    }

    public companion object {
        public const val DEFAULT_MAX_FINGERPRINTS: Int = 10_000

        /**
         * Time after a lost connection within which a refused connection or a new boot id counts
         * as a crash.
         */
        public const val EVIDENCE_MILLIS: Long = 30_000

        /**
         * Age of the latest load report at the start of an attempt up to which a runner counts
         * as alive. Reports arrive every 0.5 s, with a delay, and are read every 0.5 s.
         */
        public const val MAX_REPORT_AGE_MILLIS: Long = 2_000

        /** Tokens after that of a crash which show that the request did not crash again. */
        public const val PASSING_TOKENS: Int = 2
    }
}
