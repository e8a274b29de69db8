package io.greengageport.gateway.state

import io.greengageport.common.Clock
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.routing.Fingerprint
import io.greengageport.routing.SuspectPromptParts
import io.greengageport.routing.SuspectRequests
import io.greengageport.routing.SuspectState
import io.greengageport.routing.SuspectVerdict
import kotlin.random.Random

/**
 * Limits the damage of requests that crash backend servers, in cooperation with the peers.
 *
 * A crash is inferred from a lost connection that is followed by a refused one or by a restart of
 * the server. It marks the requests that had not begun their answer there, and the parts of their
 * prompts that other requests share. The marks are sent with the reports to peers, repeatedly for
 * [REPEAT_MILLIS], because a report may be lost. A relay forwards the marks of its peers.
 */
internal class CrashSuspects(
    private val clock: Clock,
    private val log: DecisionLog,
    private val isRelay: () -> Boolean = { false },
    random: Random = Random.Default
) {
    private class Announcement(val state: SuspectState, val isPart: Boolean, val untilMillis: Long)

    private val suspects = SuspectRequests(
        clock = clock,
        // A request begins to run with its first token, and can crash servers only then.
        canCrashAfterFirstToken = false,
        onMark = ::markPromptParts
    )
    private val promptParts = SuspectPromptParts(clock, random = random)

    /** A running request whose answer has not begun. */
    private class UnprovenRequest(val promptParts: List<Fingerprint>, val startedAtMillis: Long)

    private val unproven = HashMap<RequestId, UnprovenRequest>()
    private val announcements = LinkedHashMap<Fingerprint, Announcement>()

    /** Called when there are marks that peers need to know at once. */
    var onUrgentState: () -> Unit = {}

    /**
     * Whether the request can run without restriction, only apart from other suspects, or not at
     * all.
     */
    fun verdict(fingerprint: Fingerprint): SuspectVerdict = suspects.verdict(fingerprint)

    /**
     * Returns the prompt part among [parts] because of which a request cannot run now, or null. A
     * part that was blocked runs in one request at a time until its answer has begun.
     */
    fun findBlockedPart(parts: List<Fingerprint>): BlockedPart? {
        for (part in parts) {
            val blockedMillis = promptParts.millisUntilUnblocked(part)
            if (blockedMillis > 0) return BlockedPart(part, blockedMillis)
            if (promptParts.isOnProbation(part) && isBeingTried(part)) {
                return BlockedPart(part, PROBATION_RETRY_MILLIS)
            }
        }
        return null
    }

    /** Whether a request with [part] has started recently and its answer has not begun. */
    private fun isBeingTried(part: Fingerprint): Boolean {
        val now = clock.monotonicMillis()
        return unproven.values.any {
            part in it.promptParts && now - it.startedAtMillis < MAX_TRIAL_MILLIS
        }
    }

    /** A [part] of prompts that crashes servers, and the time after which to retry. */
    class BlockedPart(val part: Fingerprint, val retryAfterMillis: Long)

    /** Servers that are running a marked request. */
    fun runnersWithMarkedRequests(): Set<RunnerId> = suspects.runnersWithMarkedRequests()

    /**
     * Registers an attempt of [request] on [servers]; returns false if it must not run there.
     * [parts] are the parts of its prompt that other requests share, and [events] returns the
     * number of events of the answer so far, over all attempts.
     */
    fun tryStart(
        request: RequestId,
        fingerprint: Fingerprint,
        servers: List<RunnerId>,
        parts: List<Fingerprint>,
        events: () -> Int
    ): Boolean {
        val blocked = findBlockedPart(parts)
        if (blocked != null) {
            recordRefusal(request, blocked)
            return false
        }
        if (!suspects.tryStart(request, fingerprint, servers, parts, events)) return false
        if (parts.isNotEmpty() && events() < SuspectRequests.PASSING_TOKENS) {
            unproven[request] = UnprovenRequest(parts, clock.monotonicMillis())
        }
        return true
    }

    /** Logs that [request] does not run because of [blocked]. */
    fun recordRefusal(request: RequestId, blocked: BlockedPart) {
        log.record(
            "suspects",
            "refused",
            "request" to request,
            "part" to blocked.part,
            "retry_after_ms" to blocked.retryAfterMillis,
            "crashed" to crashedServers(promptParts.state(blocked.part))
        )
    }

    /** Records that the answer to [request] has reached [events] events. */
    fun recordProgress(request: RequestId, events: Int) {
        suspects.recordProgress(request, events)
        if (events < SuspectRequests.PASSING_TOKENS) return
        unproven.remove(request)?.let {
            promptParts.recordAnswer(it.promptParts).forEach(::announcePart)
        }
    }

    /**
     * Records that the response to [request] is complete, which clears the request. If the server
     * wrote an answer ([hasAnswer]), it clears the parts of the prompt too.
     */
    fun recordCompletion(request: RequestId, hasAnswer: Boolean) {
        suspects.recordCompletion(request)?.let(::announce)
        val attempt = unproven.remove(request) ?: return
        if (hasAnswer) promptParts.recordAnswer(attempt.promptParts).forEach(::announcePart)
    }

    /** Records that the attempt ended without a complete answer. */
    fun recordEnd(request: RequestId) {
        suspects.recordEnd(request)
        unproven -= request
    }

    /**
     * Records that a connection to [server] was lost, or that a chain stalls on it. Returns false
     * if an earlier loss is recorded already.
     */
    fun recordLostConnection(server: RunnerId): Boolean = suspects.recordLostConnection(server)

    /** Discards the lost connection to [server], which shows no failure of the server. */
    fun withdrawLostConnection(server: RunnerId): Unit = suspects.withdrawLostConnection(server)

    /** Discards the connections lost since [sinceMillis] of the monotonic clock. */
    fun withdrawLostConnections(sinceMillis: Long) {
        val ageMillis = clock.monotonicMillis() - sinceMillis
        suspects.withdrawLostConnections(clock.wallMillis() - ageMillis)
    }

    /** Records that [server] accepts no connection. */
    fun recordRefusedConnection(server: RunnerId): Unit =
        announceMarks(suspects.recordRefusedConnection(server))

    /**
     * Applies a change of a server in the store's list; [now] is null if the server was removed.
     */
    fun onServerChanged(id: RunnerId, now: BackendServer?) {
        when {
            now == null -> suspects.forget(id)

            now.isLeaving -> suspects.recordLeaving(id)

            else -> announceMarks(
                suspects.recordBootId(id, now.startedAtMillis.toString(), clock.wallMillis())
            )
        }
    }

    /** Merges the marks that a peer reported. */
    fun mergePeerStates(states: List<SuspectState>) {
        var hasNew = false
        for (state in states) {
            val isPart = promptParts.state(state.fingerprint) != null ||
                state.marks.any { it.request != null }
            hasNew = (if (isPart) mergePart(state) else mergeRequest(state)) || hasNew
        }
        if (hasNew && isRelay()) onUrgentState()
    }

    private fun mergeRequest(state: SuspectState): Boolean {
        val known = suspects.state(state.fingerprint)
        val toPublish = suspects.merge(state)
        val isNew = suspects.state(state.fingerprint) != known
        if (toPublish != null) {
            announce(toPublish)
        } else if (isNew && isRelay()) {
            announce(state)
        }
        return isNew
    }

    private fun mergePart(state: SuspectState): Boolean {
        val merged = promptParts.merge(state) ?: return false
        if (merged != state || isRelay()) announcePart(merged)
        return true
    }

    /**
     * Marks to include in the next report to the peers: the latest [MAX_ANNOUNCED] of requests and
     * of prompt parts each, so that a crash with many requests in flight does not hide the parts.
     */
    fun statesToReport(): List<SuspectState> {
        val now = clock.monotonicMillis()
        announcements.values.removeIf { it.untilMillis < now }
        val (parts, requests) = announcements.values.partition { it.isPart }
        return (requests.takeLast(MAX_ANNOUNCED) + parts.takeLast(MAX_ANNOUNCED)).map { it.state }
    }

    /** Discards outdated evidence; called periodically. */
    fun expire() {
        suspects.expire()
        promptParts.expire()
    }

    private fun markPromptParts(attempt: SuspectRequests.MarkedAttempt) {
        promptParts.recordCrash(attempt).forEach(::announcePart)
    }

    private fun announceMarks(states: List<SuspectState>) {
        states.forEach(::announce)
        if (states.isNotEmpty()) onUrgentState()
    }

    private fun announce(state: SuspectState): Unit =
        announce(state, suspects.verdict(state.fingerprint), isPart = null)

    private fun announcePart(state: SuspectState): Unit =
        announce(state, promptParts.verdict(state.fingerprint), isPart = true)

    private fun announce(state: SuspectState, verdict: SuspectVerdict, isPart: Boolean?) {
        announcements.remove(state.fingerprint)
        announcements[state.fingerprint] =
            Announcement(state, isPart == true, clock.monotonicMillis() + REPEAT_MILLIS)
        log.record(
            "suspects",
            "state",
            "fingerprint" to state.fingerprint,
            "verdict" to verdict,
            "prompt_part" to isPart,
            "crashed" to crashedServers(state)
        )
    }

    private fun crashedServers(state: SuspectState?): String? =
        state?.marks?.joinToString(",") { it.runner.value }?.ifEmpty { null }

    private companion object {
        /** A multiple of the interval between reports to peers. */
        const val REPEAT_MILLIS = 3_000L

        /**
         * A mark takes 60 to 150 bytes; the limit keeps a report within one datagram on common
         * links.
         */
        const val MAX_ANNOUNCED = 12

        /** The first event of an answer usually arrives within some hundred milliseconds. */
        const val PROBATION_RETRY_MILLIS = 1_000L

        /** A request that takes longer to begin its answer no longer holds up others. */
        const val MAX_TRIAL_MILLIS = 1_000L
    }
}
