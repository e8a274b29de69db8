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
 * Executes non-idempotent calls at most once, by means of the log stream `orders`.
 *
 * A call is sent only by the instance whose claim is first in the log. [run] reads the stream and
 * appends the records, and must be running while [claim] is used. The random numbers are the claim
 * ids, so the generator must be seeded differently on each instance and each start of an instance.
 * `instances` returns how many instances share the log; a wrong number affects only the rate of
 * appends.
 *
 * ```
 * when (val r = ledger.claim(call)) {
 *     is BeginResult.Won -> r.permit.use { if (it.startSending()) it.recordOutcome(send()) }
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
    private val table = OrderTable(settings.maxClockSkew.inWholeMilliseconds)

    /** Claims of this instance by claim id. */
    private val claims = ConcurrentHashMap<Long, LocalClaim>()
    private val streamListener = StreamListener()
    private val follower =
        LogFollower(log, STREAM, clock, settings.readWait, newBackoff(), streamListener)
    private val writer =
        BatchingWriter(log, STREAM, clock, settings, newBackoff(), streamListener, instances)

    /** Time of the newest record read, by the clock of the log service. */
    @Volatile
    private var logTimeMillis = Long.MIN_VALUE

    init {
        handlers.handle(OutcomeQuery.CHANNEL) { _, payload -> handleQuery(payload) }
    }

    /** Whether the stream was read to its end recently enough to decide about calls. */
    public val isReady: Boolean get() = follower.isCurrent(settings.maxCopyAge)

    /** Returns the size and backlog of this ledger, for metrics. */
    public fun status(): LedgerStatus = LedgerStatus(
        isReady = isReady,
        keyCount = table.keyCount,
        bytes = table.bytes,
        openClaims = claims.size,
        queuedRecords = writer.queueSize,
        retryDelayMillis = retryDelayMillis()
    )

    /** Reads the stream, appends records and removes expired keys until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch { follower.run() }
        launch { writer.run() }
        while (true) {
            delay(settings.sweepInterval)
            table.expireIssuedBefore(nowMillis() - settings.keyRetention.inWholeMilliseconds)
            table.shrink(settings.maxBytes)
        }
    }

    /**
     * Waits until the outcomes and releases of all calls are in the log, for use before a stop.
     * Returns false on [timeout].
     */
    public suspend fun flush(timeout: Duration): Boolean = withTimeoutOrNull(timeout) {
        while (claims.isNotEmpty() || writer.queueSize > 0) delay(FLUSH_POLL_INTERVAL)
        true
    } ?: false

    /**
     * Claims [call], or returns why it must not be sent. Waits for the log or for an earlier call
     * with the same key, at most until the deadline of the call.
     */
    public suspend fun claim(call: OrderCall): BeginResult {
        while (true) {
            val waitUntilMillis = minOf(
                call.deadlineMillis,
                clock.monotonicMillis() + settings.maxOutcomeWait.inWholeMilliseconds
            )
            val state = keyState(call)
            finalResult(call, state)?.let { return it }
            val claimed = state as? KeyState.Claimed
            val isReused = claimed != null && hasDifferentBody(call, claimed.bodyHash)
            // A claimant can be queried at any time; all else must not be decided on a stale copy.
            if (!isReady && (claimed == null || isReused)) {
                awaitCurrentCopy(call)?.let { return it }
                continue
            }
            val r = when {
                isReused -> BeginResult.KeyReused
                claimed != null -> awaitOutcome(call, claimed, waitUntilMillis)
                else -> appendClaim(call, previousClaim = null)
            }
            if (r != null) return r
        }
    }

    /** Returns the state of the key of [call], with expiry by the local clock too. */
    private fun keyState(call: OrderCall): KeyState {
        val isExpired =
            call.issuedAtMillis < nowMillis() - settings.keyRetention.inWholeMilliseconds
        return if (isExpired) KeyState.Expired else table.keyState(call.key, call.issuedAtMillis)
    }

    /** Returns the result if no later record can change it, otherwise null. */
    private fun finalResult(call: OrderCall, state: KeyState): BeginResult? = when {
        state is KeyState.Expired -> BeginResult.KeyExpired

        state is KeyState.Done && hasDifferentBody(call, state.bodyHash) -> BeginResult.KeyReused

        state is KeyState.Done -> BeginResult.Replay(state.outcome)

        call.issuedAtMillis > nowMillis() + settings.maxClockSkew.inWholeMilliseconds ->
            BeginResult.IssuedInFuture

        else -> null
    }

    private fun hasDifferentBody(call: OrderCall, hash: Digest?) =
        hash != null && hash != call.bodyHash

    /** Waits until the copy is current; returns null on success and the failure otherwise. */
    private suspend fun awaitCurrentCopy(call: OrderCall): BeginResult? {
        val retryDelayMillis = retryDelayMillis()
        val hasCaughtUp = follower.hasCaughtUp
        if (retryDelayMillis == null &&
            follower.awaitFresh(minOf(timeLeft(call), FRESH_READ_TIMEOUT))
        ) {
            return null
        }
        val retry = retryDelayMillis ?: RETRY_DELAY.inWholeMilliseconds
        val isLogDown = hasCaughtUp && follower.isFailing
        return if (isLogDown) BeginResult.LogUnavailable(retry) else BeginResult.NotReady(retry)
    }

    /** Appends a claim and waits until it is applied; null if another claim came first. */
    private suspend fun appendClaim(
        call: OrderCall,
        previousClaim: KeyState.Claimed?
    ): BeginResult? {
        retryDelayMillis()?.let { return BeginResult.LogUnavailable(it) }
        if (timeLeft(call) == Duration.ZERO) return logUnavailable()
        val windowEndMillis = clock.monotonicMillis() + settings.sendWindow.inWholeMilliseconds
        val claim = LocalClaim(
            call.key,
            random.nextLong(),
            call.issuedAtMillis,
            isSendWindowOpen = { clock.monotonicMillis() < windowEndMillis },
            onSettled = ::onSettled
        )
        claims[claim.claimId] = claim
        val item = writer.offerClaim(claimRecord(call, claim, previousClaim)) { isCertain ->
            claim.result.complete(ClaimResult.Failed(isCertain))
        }
        if (item == null) {
            claims -= claim.claimId
            return logUnavailable()
        }
        var hasWon = false
        try {
            val wait = minOf(timeLeft(call), settings.sendWindow)
            val r = withTimeoutOrNull(wait) { claim.result.await() }
            hasWon = (r as? ClaimResult.Applied)?.applyResult == ApplyResult.WON
            return if (hasWon) BeginResult.Won(SendPermit(claim)) else unsuccessfulResult(r)
        } finally {
            if (!hasWon) abandonClaim(claim, item)
        }
    }

    private fun claimRecord(call: OrderCall, claim: LocalClaim, previousClaim: KeyState.Claimed?) =
        if (previousClaim == null) {
            OrderRecord.Claim(call.key, claim.claimId, self, call.bodyHash, call.issuedAtMillis)
        } else {
            OrderRecord.Takeover(call.key, claim.claimId, self, previousClaim.claimId)
        }

    /** Result of a claim that did not win; null if another claim came first. */
    private fun unsuccessfulResult(r: ClaimResult?): BeginResult? = when (r) {
        is ClaimResult.Applied -> when (r.applyResult) {
            ApplyResult.EXPIRED -> BeginResult.KeyExpired
            ApplyResult.ISSUED_IN_FUTURE -> BeginResult.IssuedInFuture
            ApplyResult.LOST, ApplyResult.WON -> null
        }

        is ClaimResult.Failed, null -> logUnavailable()
    }

    /** Ensures that a claim without a permit never leads to a call. */
    private fun abandonClaim(claim: LocalClaim, item: BatchingWriter.QueuedRecord) {
        val r = if (claim.result.isCompleted) claim.result.getCompleted() else null
        val canDrop = when (r) {
            // An expired claim is released, because another instance may not have expired the key.
            is ClaimResult.Applied ->
                r.applyResult == ApplyResult.LOST ||
                    r.applyResult == ApplyResult.ISSUED_IN_FUTURE

            is ClaimResult.Failed -> r.isCertain

            null -> writer.withdraw(item)
        }
        if (canDrop) claims -= claim.claimId else claim.release()
    }

    /** Queues the outcome or the release of a settled claim. */
    private fun onSettled(claim: LocalClaim, completion: ClaimCompletion) {
        when (completion) {
            is ClaimCompletion.Ran -> {
                val outcome = completion.outcome.withBodyLimit(settings.maxOutcomeBodyBytes)
                writer.enqueue(OrderRecord.Outcome(claim.key, claim.claimId, outcome))
            }

            ClaimCompletion.NotRun ->
                writer.enqueue(OrderRecord.Released(claim.key, claim.claimId, claim.issuedAtMillis))

            ClaimCompletion.Unknown -> claims -= claim.claimId
        }
    }

    /** Waits for the outcome of an earlier claim; null if the key has changed meanwhile. */
    private suspend fun awaitOutcome(
        call: OrderCall,
        state: KeyState.Claimed,
        waitUntilMillis: Long
    ): BeginResult? {
        val change = table.nextChange(call.key, state.claimId) ?: return null
        try {
            var reply: OutcomeReply = OutcomeReply.Running
            while (clock.monotonicMillis() < waitUntilMillis) {
                val wait = (waitUntilMillis - clock.monotonicMillis()).milliseconds
                reply = coroutineScope {
                    val query = async {
                        queryOutcome(call.key, state, minOf(wait, settings.maxPeerWait))
                    }
                    val r = withTimeoutOrNull(wait) {
                        select {
                            change.onAwait { null }
                            query.onAwait { it }
                        }
                    }
                    query.cancel()
                    r
                } ?: if (change.isCompleted) return null else break
                if (reply != OutcomeReply.Running) break
            }
            return resolveReply(call, state, reply, change)
        } finally {
            table.removeWaiter(call.key, change)
        }
    }

    /** Turns the reply of a claimant into a result; null if the key has changed meanwhile. */
    private suspend fun resolveReply(
        call: OrderCall,
        state: KeyState.Claimed,
        reply: OutcomeReply,
        change: Deferred<Unit>
    ): BeginResult? = when (reply) {
        is OutcomeReply.Ran -> BeginResult.Replay(reply.outcome)

        OutcomeReply.Running -> BeginResult.InProgress(state.claimant)

        OutcomeReply.NotRun -> {
            if (retryDelayMillis() == null) withTimeoutOrNull(timeLeft(call)) { change.await() }
            if (change.isCompleted) null else logUnavailable()
        }

        OutcomeReply.Unknown -> when {
            // The claimant may have settled the claim after its state was read here.
            !follower.awaitFresh(minOf(timeLeft(call), FRESH_READ_TIMEOUT)) ->
                BeginResult.OutcomeUnknown

            change.isCompleted -> null

            call.backendDeduplicates -> appendClaim(call, previousClaim = state)

            else -> BeginResult.OutcomeUnknown
        }
    }

    private suspend fun queryOutcome(
        key: OrderKey,
        state: KeyState.Claimed,
        wait: Duration
    ): OutcomeReply = if (state.claimant == self) {
        localOutcome(key, state.claimId, wait)
    } else {
        peers.queryOutcome(state.claimant, key, state.claimId, wait)
    }

    /** Handles an [OutcomeQuery] of another instance. */
    private suspend fun handleQuery(payload: ByteArray): ByteArray {
        val q = RecordCodec.decode(OutcomeQuery.serializer(), payload)
        val reply = if (q == null) {
            OutcomeReply.Unknown
        } else {
            val wait = q.waitMillis.coerceIn(0, settings.maxPeerWait.inWholeMilliseconds)
            localOutcome(q.key, q.claimId, wait.milliseconds)
        }
        return RecordCodec.encode(OutcomeReply.serializer(), reply)
    }

    /** Outcome of a claim of this instance, waiting at most [wait] until it is settled. */
    private suspend fun localOutcome(key: OrderKey, claimId: Long, wait: Duration): OutcomeReply {
        val claim = claims[claimId]
        if (claim == null) {
            val state = table.keyState(key, Long.MAX_VALUE)
            return if (state is KeyState.Done) {
                OutcomeReply.Ran(
                    state.outcome
                )
            } else {
                OutcomeReply.Unknown
            }
        }
        return when (val completion = withTimeoutOrNull(wait) { claim.completion.await() }) {
            is ClaimCompletion.Ran ->
                OutcomeReply.Ran(completion.outcome.withBodyLimit(settings.maxOutcomeBodyBytes))

            ClaimCompletion.NotRun -> OutcomeReply.NotRun

            ClaimCompletion.Unknown -> OutcomeReply.Unknown

            null -> OutcomeReply.Running
        }
    }

    /** Milliseconds until a retry while appends or reads fail; null if an append may be tried. */
    private fun retryDelayMillis(): Long? = writer.retryDelayMillis()
        ?: RETRY_DELAY.inWholeMilliseconds.takeIf { follower.isFailing }

    private fun logUnavailable() =
        BeginResult.LogUnavailable(retryDelayMillis() ?: RETRY_DELAY.inWholeMilliseconds)

    private fun timeLeft(call: OrderCall): Duration =
        (call.deadlineMillis - clock.monotonicMillis()).coerceAtLeast(0).milliseconds

    /** The later of local and log time: a slow local clock must not make expired keys valid. */
    private fun nowMillis(): Long = maxOf(clock.wallMillis(), logTimeMillis)

    private fun newBackoff() = Backoff(settings.minBackoff, settings.maxBackoff, random)

    private inner class StreamListener :
        LogFollower.Listener,
        BatchingWriter.ReadBack {
        override fun onRecord(record: LogRecord) {
            logTimeMillis = maxOf(logTimeMillis, record.appendedAtMillis)
            val (records, skipped) = RecordCodec.decodeOrders(record.payload)
            if (skipped > 0) Logger.warn("ledger: skipped $skipped bad records at ${record.offset}")
            for (r in records) {
                val applyResult = table.apply(r, record.appendedAtMillis)
                val claim = claims[r.claimId]?.takeIf { it.key == r.key } ?: continue
                when (r) {
                    is OrderRecord.Claim, is OrderRecord.Takeover ->
                        claim.result.complete(ClaimResult.Applied(applyResult))

                    is OrderRecord.Outcome, is OrderRecord.Released -> claims -= r.claimId
                }
            }
        }

        override fun onTruncated(earliestOffset: Long, horizonMillis: Long) {
            Logger.warn(
                "ledger: stream $STREAM was truncated; rebuilding from offset $earliestOffset"
            )
            table.reset(horizonMillis + settings.maxClockSkew.inWholeMilliseconds)
            // A claim that was truncated cannot be distinguished from one that was never appended.
            claims.values.forEach { it.result.complete(ClaimResult.Failed(isCertain = false)) }
        }

        override suspend fun catchUp() = follower.awaitFresh(settings.readBackTimeout)

        override fun isReflected(record: OrderRecord) = table.isReflected(record)
    }

    private companion object {
        const val STREAM = "orders"
        val RETRY_DELAY = 1.seconds
        val FRESH_READ_TIMEOUT = 2.seconds
        val FLUSH_POLL_INTERVAL = 10.milliseconds
    }
}

/**
 * Status of an [OrderLedger].
 *
 * [retryDelayMillis] is the time until the next retry while the log fails, not the duration of the
 * outage; null if neither reads nor appends are known to fail, or if the retry is due. [bytes] is
 * the estimated memory of all keys, [openClaims] the number of claims of this instance that are
 * not settled, or whose outcome or release is not in the log yet.
 */
public data class LedgerStatus(
    val isReady: Boolean,
    val keyCount: Int,
    val bytes: Long,
    val openClaims: Int,
    val queuedRecords: Int,
    val retryDelayMillis: Long?
)
