package io.greengageport.ledger

import com.github.michaelbull.result.mapBoth
import io.greengageport.common.InstanceId
import io.greengageport.common.PeerCalls
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Question to a claimant about an outcome that is not in the log yet. */
@Serializable
internal data class OutcomeQuery(val key: OrderKey, val claimId: Long, val waitMillis: Long) {
    companion object {
        const val CHANNEL = "ledger.outcome"
    }
}

/** The claimant's answer. */
@Serializable
internal sealed interface OutcomeReply {
    @Serializable
    @SerialName("running")
    data object Running : OutcomeReply

    @Serializable
    @SerialName("ran")
    data class Ran(val outcome: CallOutcome) : OutcomeReply

    /** Given up before sending; the release is on its way to the log. */
    @Serializable
    @SerialName("not_run")
    data object NotRun : OutcomeReply

    /** The claimant does not know the claim, or did not answer. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : OutcomeReply
}

/** Asks [claimant], which answers within [wait]; a claimant that cannot be asked is unknown. */
internal suspend fun PeerCalls.askOutcome(
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

private val PEER_MARGIN = 1.seconds
