package io.greengageport.routing

import io.greengageport.common.Clock
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId

/**
 * Finds requests that crash the runners they run on, and keeps them from more runners.
 *
 * A runner has crashed if a connection to it was lost and a new one is then refused, or if it
 * reports a new boot id; a runner that announced that it leaves has not. The requests in flight on
 * it are suspects. Those with a mark get one more, and only if there are none, all get their first,
 * so a request that shares a runner with a marked one is not blamed for it. A request gets at most
 * one mark in an attempt: the stages after the one that it crashes don't run it, so the loss of
 * several stages of its chain has another cause.
 *
 * A marked request runs alone among marked ones until its answer has passed the token at which the
 * runner crashed ([progressed]). If several that passed it are on a runner that crashes, a failure
 * of the machine is the likelier cause: they keep their marks and run alone again. Thread-safe.
 *
 * A mark by a later stage without a token of the attempt is uncertain, since that stage may have
 * ended before the request reached it. Such a mark is void once the answer has passed its token on
 * other runners.
 *
 * ```
 * if (!suspects.tryStart(id, fingerprint, chain)) planAgain(markedBusy = suspects.markedBusy())
 * suspects.connectionRefused(runner).forEach { gossip(it) }
 * ```
 */
public class SuspectRequests(
    private val clock: Clock,
    private val maxFingerprints: Int = DEFAULT_MAX_FINGERPRINTS
) {
    private class Flight(
        val fingerprint: Fingerprint,
        val runners: List<RunnerId>,
        val startedAtMillis: Long,
        val tokens: () -> Int
    ) {
        /** Tokens that the answer had before the attempt. */
        val tokensBefore = tokens()

        /** Whether the attempt has brought its request a mark. */
        var isCharged = false
    }

    /** An attempt that was on a runner when the connection to it was lost, with its tokens. */
    private class Suspect(val flight: Flight, val tokens: Int) {
        /**
         * Whether the request may have run on [runner], which gave its last sign of life at
         * [aliveAtMillis]. A first stage accepted it; a later one may have ended long before.
         */
        fun mayHaveRunOn(runner: RunnerId, aliveAtMillis: Long?): Boolean = hasRunOn(runner) ||
            aliveAtMillis == null || flight.startedAtMillis - aliveAtMillis <= ALIVE_MILLIS

        /** Whether the request surely reached [runner] while it lived. */
        fun hasRunOn(runner: RunnerId): Boolean =
            runner == flight.runners.first() || tokens > flight.tokensBefore
    }

    private class Lost(val suspects: List<Suspect>, val atMillis: Long)

    private val states = LinkedHashMap<Fingerprint, SuspectState>()
    private val flights = HashMap<RequestId, Flight>()
    private val lost = HashMap<RunnerId, Lost>()
    private val boots = HashMap<RunnerId, String>()
    private val crashedBoots = HashMap<RunnerId, String>()

    /** Times of the newest load reports, by the wall clock. */
    private val aliveAt = HashMap<RunnerId, Long>()
    private val leaving = HashSet<RunnerId>()

    /** Marked fingerprints whose answer has passed the token of the crash. */
    private val passed = HashSet<Fingerprint>()

    /** Whether requests with this fingerprint may run. */
    @Synchronized
    public fun verdict(fingerprint: Fingerprint): SuspectVerdict =
        states[fingerprint]?.verdict(clock.wallMillis()) ?: SuspectVerdict.CLEAR

    /** Runners on which this instance runs a marked request that has not passed its crash. */
    @Synchronized
    public fun markedBusy(): Set<RunnerId> {
        // As a rule there is no mark at all, and this is asked for each request.
        if (states.isEmpty()) return emptySet()
        return flights.values
            .filter { it.fingerprint !in passed }
            .filter { verdict(it.fingerprint) != SuspectVerdict.CLEAR }
            .flatMap { it.runners }.toSet()
    }

    /**
     * Registers a request that is about to run on [runners]. Returns false, and registers nothing,
     * if the request is blocked or if it is marked and one of the runners runs a marked one.
     * [tokens] tells how far its answer has come.
     */
    @Synchronized
    public fun tryStart(
        request: RequestId,
        fingerprint: Fingerprint,
        runners: List<RunnerId>,
        tokens: () -> Int = { 0 }
    ): Boolean {
        val allowed = when (verdict(fingerprint)) {
            SuspectVerdict.CLEAR -> true
            SuspectVerdict.MARKED -> markedBusy().let { busy -> runners.none { it in busy } }
            SuspectVerdict.BLOCKED -> false
        }
        if (allowed) {
            // Each attempt has to pass the token of the crash anew.
            passed -= fingerprint
            flights[request] = Flight(fingerprint, runners, clock.wallMillis(), tokens)
        }
        return allowed
    }

    /** The answer of a marked request has [tokens] tokens; true once it has passed its crash. */
    @Synchronized
    public fun progressed(request: RequestId, tokens: Int): Boolean {
        val fingerprint = flights[request]?.fingerprint ?: return true
        val marks = states[fingerprint]?.marks.orEmpty()
        val isPast = marks.all { tokens >= it.tokens + PASSING_TOKENS }
        if (isPast && verdict(fingerprint) == SuspectVerdict.MARKED) {
            if (marks.all { it.isUncertain }) {
                store(SuspectState(fingerprint, completedAtMillis = clock.wallMillis()))
            } else {
                passed += fingerprint
            }
        }
        return isPast
    }

    /** The request got its complete answer; returns the state to gossip if that cleared a mark. */
    @Synchronized
    public fun completed(request: RequestId): SuspectState? {
        val fingerprint = flights.remove(request)?.fingerprint ?: return null
        val now = clock.wallMillis()
        if (verdict(fingerprint) == SuspectVerdict.CLEAR) return null
        return store(SuspectState(fingerprint, completedAtMillis = now))
    }

    /** The request, or its attempt, ended without a complete answer. */
    @Synchronized
    public fun ended(request: RequestId) {
        flights.remove(request)
    }

    /** A connection to the runner was lost; call this before [ended] of the requests on it. */
    @Synchronized
    public fun connectionLost(runner: RunnerId) {
        val now = clock.wallMillis()
        val earlier = lost[runner]?.takeIf { now - it.atMillis < EVIDENCE_MILLIS }
        // Requests that were sent after the first loss may have met a runner that had ended.
        if (earlier == null) lost[runner] = Lost(inFlight(runner, now), now)
    }

    /** A new connection was refused. This alone is no crash: the runner may have stopped. */
    @Synchronized
    public fun connectionRefused(runner: RunnerId): List<SuspectState> {
        val record = lost.remove(runner) ?: return emptyList()
        val now = clock.wallMillis()
        if (runner in leaving || now - record.atMillis >= EVIDENCE_MILLIS) return emptyList()
        val boot = boots[runner].orEmpty()
        // A process crashes once; requests sent to it before its end was known aren't suspect.
        if (boot.isNotEmpty() && crashedBoots.put(runner, boot) == boot) return emptyList()
        return crashed(runner, boot, record.suspects, aliveAt[runner])
    }

    /**
     * Several stages of one chain refused connections at once: a failure of machines, for a request
     * crashes one stage in an attempt. No request is marked for it.
     */
    @Synchronized
    public fun machinesFailed(runners: Collection<RunnerId>) {
        for (r in runners) {
            lost.remove(r)
            boots[r]?.let { crashedBoots[r] = it }
        }
    }

    /** The runner has announced that it leaves, so a refused connection is no crash. */
    @Synchronized
    public fun leaving(runner: RunnerId) {
        leaving += runner
        lost.remove(runner)
    }

    /** The runner reported [bootId] at [atMillis] of the wall clock. */
    @Synchronized
    public fun bootId(runner: RunnerId, bootId: String, atMillis: Long): List<SuspectState> {
        if (bootId.isEmpty()) return emptyList()
        val previous = boots.put(runner, bootId)
        val aliveBefore = aliveAt[runner]
        aliveAt[runner] = maxOf(atMillis, aliveBefore ?: atMillis)
        if (previous == bootId) {
            // The process survived the lost connection.
            lost[runner]?.takeIf { atMillis > it.atMillis }?.let { lost.remove(runner) }
            return emptyList()
        }
        val planned = leaving.remove(runner)
        val record = lost.remove(runner)
        if (previous == null || planned || crashedBoots.remove(runner) == previous) {
            return emptyList()
        }
        val recent = record?.takeIf { clock.wallMillis() - it.atMillis < EVIDENCE_MILLIS }
        val suspects = recent?.suspects ?: inFlight(runner, atMillis)
        return crashed(runner, previous, suspects, aliveBefore)
    }

    /** Takes in a state from gossip; returns the state to publish if this instance knows more. */
    @Synchronized
    public fun merge(state: SuspectState): SuspectState? {
        if (state.isExpired(clock.wallMillis())) return null
        return store(state).takeIf { it != state }
    }

    /** Drops states that say nothing any more; returns how many are left. */
    @Synchronized
    public fun expire(): Int {
        val now = clock.wallMillis()
        states.values.removeIf { it.isExpired(now) }
        passed.retainAll(states.keys)
        return states.size
    }

    /** Drops what is known of a runner that left the fleet for good. */
    @Synchronized
    public fun forget(runner: RunnerId) {
        lost.remove(runner)
        boots.remove(runner)
        aliveAt.remove(runner)
        crashedBoots.remove(runner)
        leaving.remove(runner)
    }

    private fun inFlight(runner: RunnerId, untilMillis: Long): List<Suspect> = flights.values
        .filter { runner in it.runners && it.startedAtMillis <= untilMillis }
        .map { Suspect(it, it.tokens()) }

    private fun crashed(
        runner: RunnerId,
        bootId: String,
        suspects: List<Suspect>,
        aliveAtMillis: Long?
    ): List<SuspectState> {
        val now = clock.wallMillis()
        val uncharged = suspects
            .filter { !it.flight.isCharged && it.mayHaveRunOn(runner, aliveAtMillis) }
            .groupBy { it.flight.fingerprint }
        return blamed(uncharged.keys).sorted().map { fingerprint ->
            val attempts = uncharged.getValue(fingerprint)
            attempts.forEach { it.flight.isCharged = true }
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

    private fun blamed(suspects: Set<Fingerprint>): Set<Fingerprint> {
        val marked = suspects.filter { verdict(it) != SuspectVerdict.CLEAR }
        val alone = marked.filter { it !in passed }
        return when {
            marked.isEmpty() -> suspects

            alone.isNotEmpty() -> alone.toSet()

            marked.size == 1 -> marked.toSet()

            else -> {
                passed -= marked.toSet()
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

        /** Time after a lost connection in which a refused one or a new boot id shows a crash. */
        public const val EVIDENCE_MILLIS: Long = 30_000

        /**
         * Age of a load report at the start of an attempt up to which its runner was surely alive.
         * Reports come each 0.5 s, with a lag, and are read each 0.5 s.
         */
        public const val ALIVE_MILLIS: Long = 2_000

        /** Tokens after the one of the crash that show that the request runs on another runner. */
        public const val PASSING_TOKENS: Int = 2
    }
}
