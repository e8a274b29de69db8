package io.greengageport.ledger

import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerHandlers
import io.greengageport.ports.LogRecord
import io.greengageport.ports.LogService
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger

/**
 * At-most-once execution of non-idempotent calls over the log stream `orders`.
 *
 * A call is sent only by the instance whose claim comes first in the log. [run] must run for as
 * long as [begin] is used; it follows the stream and appends the records. The random numbers are
 * the claim ids, so they must differ between instances and between runs of one instance.
 * `instances` tells how many share the log; a wrong number changes the rate of appends only.
 *
 * ```
 * when (val r = ledger.begin(call)) {
 *     is BeginResult.Won -> r.permit.use { if (it.startSending()) it.complete(send()) }
 *     is BeginResult.Replay -> answer(r.outcome)
 *     ...
 * }
 * ```
 */
public class OrderLedger(
    log: LogService,
    private val self: InstanceId,
    private val peers: PeerCalls,
    handlers: PeerHandlers,
    private val clock: Clock,
    random: Random,
    instances: () -> Int,
    private val settings: LedgerSettings = LedgerSettings()
) {
    private val random = LockedRandom(random)
    private val table = OrderTable(settings.skew.inWholeMilliseconds)
    private val claims = ConcurrentHashMap<Long, LocalClaim>()
    private val events = LogEvents()
    private val follower =
        LogFollower(log, STREAM, clock, settings.readWait, backoff(), events)
    private val writer =
        BatchingWriter(log, STREAM, clock, settings, backoff(), events, instances)

    @Volatile
    private var logTime = Long.MIN_VALUE

    init {
        handlers.handle(OutcomeQuery.CHANNEL) { _, payload -> answer(payload) }
    }

    /** Whether the stream has been read to its end, recently enough to decide about calls. */
    public val ready: Boolean get() = follower.isCurrent(settings.currencyBound)

    /** Size and backlog of this ledger, for metrics. */
    public fun status(): LedgerStatus = LedgerStatus(
        ready = ready,
        keys = table.keys,
        bytes = table.bytes,
        openClaims = claims.size,
        queuedRecords = writer.size,
        outageMillis = outage()
    )

    /** Follows the stream and appends records until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch { follower.run() }
        launch { writer.run() }
        while (true) {
            delay(settings.sweepEvery)
            table.raiseFloor(now() - settings.rememberFor.inWholeMilliseconds)
            table.shrink(settings.maxBytes)
        }
    }

    /** Waits until all outcomes and releases of settled calls are in the log, as before a stop. */
    public suspend fun flush(timeout: Duration): Boolean = withTimeoutOrNull(timeout) {
        while (claims.isNotEmpty() || writer.size > 0) delay(FLUSH_POLL)
        true
    } ?: false

    /**
     * Decides what may happen with [call], waiting for the log or for an earlier call with the
     * same key at most until the deadline of the call.
     */
    public suspend fun begin(call: OrderCall): BeginResult {
        while (true) {
            val waitUntil = minOf(
                call.deadline,
                clock.monotonicMillis() + settings.maxOutcomeWait.inWholeMilliseconds
            )
            val view = inspect(call)
            decided(call, view)?.let { return it }
            val claimed = view as? KeyView.Claimed
            val reused = claimed != null && differs(call, claimed.bodyHash)
            // A claimant can be asked at any time; the rest must not be decided on a stale copy.
            if (!ready && (claimed == null || reused)) {
                awaitCurrent(call)?.let { return it }
                continue
            }
            val r = when {
                reused -> BeginResult.KeyReused
                claimed != null -> awaitOutcome(call, claimed, waitUntil)
                else -> claim(call, takenOver = null)
            }
            if (r != null) return r
        }
    }

    private fun inspect(call: OrderCall): KeyView {
        val expired = call.issuedAt < now() - settings.rememberFor.inWholeMilliseconds
        return if (expired) KeyView.Expired else table.view(call.key, call.issuedAt)
    }

    /** Facts that no later record changes. */
    private fun decided(call: OrderCall, view: KeyView): BeginResult? = when {
        view is KeyView.Expired -> BeginResult.KeyExpired
        view is KeyView.Done && differs(call, view.bodyHash) -> BeginResult.KeyReused
        view is KeyView.Done -> BeginResult.Replay(view.outcome)
        call.issuedAt > now() + settings.skew.inWholeMilliseconds -> BeginResult.IssuedInFuture
        else -> null
    }

    private fun differs(call: OrderCall, hash: Digest?) = hash != null && hash != call.bodyHash

    private suspend fun awaitCurrent(call: OrderCall): BeginResult? {
        val outage = outage()
        val caughtUp = follower.caughtUp
        if (outage == null &&
            follower.awaitFresh(minOf(remaining(call), CURRENCY_WAIT))
        ) {
            return null
        }
        val retry = outage ?: RETRY.inWholeMilliseconds
        val unavailable = caughtUp && follower.failing
        return if (unavailable) BeginResult.LogUnavailable(retry) else BeginResult.NotReady(retry)
    }

    /** Appends a claim and waits for its place in the log; null when another claim came first. */
    private suspend fun claim(call: OrderCall, takenOver: KeyView.Claimed?): BeginResult? {
        outage()?.let { return BeginResult.LogUnavailable(it) }
        if (remaining(call) == Duration.ZERO) return unavailable()
        val windowEnd = clock.monotonicMillis() + settings.sendWindow.inWholeMilliseconds
        val claim = LocalClaim(
            call.key,
            random.nextLong(),
            call.issuedAt,
            windowOpen = { clock.monotonicMillis() < windowEnd },
            onSettled = ::onSettled
        )
        claims[claim.claimId] = claim
        val item = writer.offerClaim(record(call, claim, takenOver)) { certain ->
            claim.result.complete(ClaimResult.Failed(certain))
        }
        if (item == null) {
            claims -= claim.claimId
            return unavailable()
        }
        var won = false
        try {
            val wait = minOf(remaining(call), settings.sendWindow)
            val r = withTimeoutOrNull(wait) { claim.result.await() }
            won = (r as? ClaimResult.Folded)?.verdict == Verdict.WON
            return if (won) BeginResult.Won(SendPermit(claim)) else refused(r)
        } finally {
            if (!won) giveUp(claim, item)
        }
    }

    private fun record(call: OrderCall, claim: LocalClaim, takenOver: KeyView.Claimed?) =
        if (takenOver == null) {
            OrderRecord.Claim(call.key, claim.claimId, self, call.bodyHash, call.issuedAt)
        } else {
            OrderRecord.Takeover(call.key, claim.claimId, self, takenOver.claimId)
        }

    private fun refused(r: ClaimResult?): BeginResult? = when (r) {
        is ClaimResult.Folded -> when (r.verdict) {
            Verdict.EXPIRED -> BeginResult.KeyExpired
            Verdict.ISSUED_IN_FUTURE -> BeginResult.IssuedInFuture
            Verdict.LOST, Verdict.WON -> null
        }

        is ClaimResult.Failed, null -> unavailable()
    }

    /** Makes sure that a claim that was not handed out never leads to a call. */
    private fun giveUp(claim: LocalClaim, item: BatchingWriter.Item) {
        val r = if (claim.result.isCompleted) claim.result.getCompleted() else null
        val harmless = when (r) {
            // Another instance may not have forgotten the key yet, so an expired claim is released.
            is ClaimResult.Folded ->
                r.verdict == Verdict.LOST ||
                    r.verdict == Verdict.ISSUED_IN_FUTURE

            is ClaimResult.Failed -> r.certain

            null -> writer.withdraw(item)
        }
        if (harmless) claims -= claim.claimId else claim.abandon()
    }

    private fun onSettled(claim: LocalClaim, end: ClaimEnd) {
        when (end) {
            is ClaimEnd.Ran -> {
                val outcome = end.outcome.bounded(settings.maxOutcomeBody)
                writer.enqueue(OrderRecord.Outcome(claim.key, claim.claimId, outcome))
            }

            ClaimEnd.NotRun ->
                writer.enqueue(OrderRecord.Released(claim.key, claim.claimId, claim.issuedAt))

            ClaimEnd.Unknown -> claims -= claim.claimId
        }
    }

    /** Null when the key has changed and must be looked at again. */
    private suspend fun awaitOutcome(
        call: OrderCall,
        view: KeyView.Claimed,
        waitUntil: Long
    ): BeginResult? {
        val change = table.nextChange(call.key, view.claimId) ?: return null
        try {
            var reply: OutcomeReply = OutcomeReply.Running
            while (clock.monotonicMillis() < waitUntil) {
                val wait = (waitUntil - clock.monotonicMillis()).milliseconds
                reply = coroutineScope {
                    val asked = async { ask(call.key, view, minOf(wait, settings.peerWait)) }
                    val r = withTimeoutOrNull(wait) {
                        select {
                            change.onAwait { null }
                            asked.onAwait { it }
                        }
                    }
                    asked.cancel()
                    r
                } ?: if (change.isCompleted) return null else break
                if (reply != OutcomeReply.Running) break
            }
            return conclude(call, view, reply, change)
        } finally {
            table.forget(call.key, change)
        }
    }

    private suspend fun conclude(
        call: OrderCall,
        view: KeyView.Claimed,
        reply: OutcomeReply,
        change: Deferred<Unit>
    ): BeginResult? = when (reply) {
        is OutcomeReply.Ran -> BeginResult.Replay(reply.outcome)

        OutcomeReply.Running -> BeginResult.InProgress(view.claimant)

        OutcomeReply.NotRun -> {
            if (outage() == null) withTimeoutOrNull(remaining(call)) { change.await() }
            if (change.isCompleted) null else unavailable()
        }

        OutcomeReply.Unknown -> when {
            // The claimant may have settled the claim between the view and the question.
            !follower.awaitFresh(minOf(remaining(call), CURRENCY_WAIT)) ->
                BeginResult.OutcomeUnknown

            change.isCompleted -> null

            call.backendDeduplicates -> claim(call, takenOver = view)

            else -> BeginResult.OutcomeUnknown
        }
    }

    private suspend fun ask(key: OrderKey, view: KeyView.Claimed, wait: Duration): OutcomeReply =
        if (view.claimant == self) {
            localReply(key, view.claimId, wait)
        } else {
            peers.askOutcome(view.claimant, key, view.claimId, wait)
        }

    private suspend fun answer(payload: ByteArray): ByteArray {
        val q = RecordCodec.decode(OutcomeQuery.serializer(), payload)
        val reply = if (q == null) {
            OutcomeReply.Unknown
        } else {
            val wait = q.waitMillis.coerceIn(0, settings.peerWait.inWholeMilliseconds)
            localReply(q.key, q.claimId, wait.milliseconds)
        }
        return RecordCodec.encode(OutcomeReply.serializer(), reply)
    }

    private suspend fun localReply(key: OrderKey, claimId: Long, wait: Duration): OutcomeReply {
        val claim = claims[claimId]
        if (claim == null) {
            val view = table.view(key, Long.MAX_VALUE)
            return if (view is KeyView.Done) {
                OutcomeReply.Ran(
                    view.outcome
                )
            } else {
                OutcomeReply.Unknown
            }
        }
        return when (val end = withTimeoutOrNull(wait) { claim.end.await() }) {
            is ClaimEnd.Ran -> OutcomeReply.Ran(end.outcome.bounded(settings.maxOutcomeBody))
            ClaimEnd.NotRun -> OutcomeReply.NotRun
            ClaimEnd.Unknown -> OutcomeReply.Unknown
            null -> OutcomeReply.Running
        }
    }

    private fun outage(): Long? = writer.outageMillis()
        ?: RETRY.inWholeMilliseconds.takeIf { follower.failing }

    private fun unavailable() = BeginResult.LogUnavailable(outage() ?: RETRY.inWholeMilliseconds)

    private fun remaining(call: OrderCall): Duration =
        (call.deadline - clock.monotonicMillis()).coerceAtLeast(0).milliseconds

    /** The later of both wall clocks: a slow clock here must not bring expired keys back. */
    private fun now(): Long = maxOf(clock.wallMillis(), logTime)

    private fun backoff() = Backoff(settings.minBackoff, settings.maxBackoff, random)

    private inner class LogEvents :
        LogFollower.Listener,
        BatchingWriter.ReadBack {
        override fun onRecord(record: LogRecord) {
            logTime = maxOf(logTime, record.appendedAtMillis)
            val (records, skipped) = RecordCodec.orders(record.payload)
            if (skipped > 0) Logger.warn("ledger: skipped a bad record at ${record.offset}")
            for (r in records) {
                val verdict = table.apply(r, record.appendedAtMillis)
                val claim = claims[r.claimId]?.takeIf { it.key == r.key } ?: continue
                when (r) {
                    is OrderRecord.Claim, is OrderRecord.Takeover ->
                        claim.result.complete(ClaimResult.Folded(verdict))

                    is OrderRecord.Outcome, is OrderRecord.Released -> claims -= r.claimId
                }
            }
        }

        override fun onTruncated(earliest: Long, horizon: Long) {
            Logger.warn("ledger: stream truncated, reading anew from $earliest")
            table.reset(horizon + settings.skew.inWholeMilliseconds)
            // A claim that may have been cut off can no longer be told from one that was lost.
            claims.values.forEach { it.result.complete(ClaimResult.Failed(certain = false)) }
        }

        override suspend fun catchUp() = follower.awaitFresh(settings.readBackTimeout)

        override fun reflects(record: OrderRecord) = table.reflects(record)
    }

    private companion object {
        const val STREAM = "orders"
        val RETRY = 1.seconds
        val CURRENCY_WAIT = 2.seconds
        val FLUSH_POLL = 10.milliseconds
    }
}

/**
 * Figures of an [OrderLedger]. [outageMillis] is the time until a retry is worthwhile while the log
 * fails, not the length of the outage; null when neither reads nor appends are known to fail.
 */
public data class LedgerStatus(
    val ready: Boolean,
    val keys: Int,
    val bytes: Long,
    val openClaims: Int,
    val queuedRecords: Int,
    val outageMillis: Long?
)
