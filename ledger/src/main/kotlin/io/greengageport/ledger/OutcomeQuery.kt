package io.greengageport.ledger

import com.github.michaelbull.result.mapBoth
import io.greengageport.common.InstanceId
import io.greengageport.common.PeerCalls
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Peer message that asks a claimant for an outcome that is not in the log yet.
 *
 * The claimant replies within [waitMillis].
 */
@Serializable
internal data class OutcomeQuery(val key: OrderKey, val claimId: Long, val waitMillis: Long) {
    companion object {
        const val CHANNEL = "ledger.outcome"
    }
}

/** Reply to an [OutcomeQuery]. */
@Serializable
internal sealed interface OutcomeReply {
    /** The call is still in progress. */
    @Serializable
    @SerialName("running")
    data object Running : OutcomeReply

    /** The call was executed. */
    @Serializable
    @SerialName("ran")
    data class Ran(val outcome: CallOutcome) : OutcomeReply

    /** The call was not sent and never will be; the release is queued for the log. */
    @Serializable
    @SerialName("not_run")
    data object NotRun : OutcomeReply

    /** The claimant does not know the outcome or the claim, or did not reply. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : OutcomeReply
}

/**
 * Asks [claimant] for the outcome of a claim; the claimant replies within [wait]. The result is
 * [OutcomeReply.Unknown] if the call to the claimant fails.
 */
internal suspend fun PeerCalls.queryOutcome(
    claimant: InstanceId,
    key: OrderKey,
    claimId: Long,
    wait: Duration
): OutcomeReply {
    val query = OutcomeQuery(key, claimId, wait.inWholeMilliseconds)
    val payload = RecordCodec.encode(OutcomeQuery.serializer(), query)
    return call(claimant, OutcomeQuery.CHANNEL, payload, wait + PEER_MARGIN).mapBoth(
        success = { RecordCodec.decode(OutcomeReply.serializer(), it) ?: OutcomeReply.Unknown },
        failure = { OutcomeReply.Unknown }
    )
}

/** Time for the query and the reply to arrive, on top of the wait of the claimant. */
private val PEER_MARGIN = 1.seconds
