package io.greengageport.ledger

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Identifies a non-idempotent call; keys of different organisations are independent. */
@Serializable
public data class OrderKey(
    val organisation: OrganisationName,
    val service: ServiceName,
    val key: String
) {
    /** Compact form of this key for lookups. */
    internal fun digest(): Digest =
        Digest.of(organisation.value.encodeToByteArray(), service.value, key)

    private fun Digest.Companion.of(first: ByteArray, vararg rest: String): Digest =
        of(first, *rest.map { it.encodeToByteArray() }.toTypedArray())
}

/** The recorded response of a backend server; [isBodyKept] is false if the body was too large. */
@Serializable
public data class CallOutcome(
    val status: Int,
    val headers: Map<String, List<String>>,
    @ByteString val body: ByteArray,
    @SerialName("bodyKept") val isBodyKept: Boolean = true
) {
    /** Returns this outcome, without its body if that exceeds [limitBytes]. */
    internal fun withBodyLimit(limitBytes: Int): CallOutcome =
        if (body.size <= limitBytes) this else withoutBody()

    internal fun withoutBody(): CallOutcome = copy(body = ByteArray(0), isBodyKept = false)

    override fun equals(other: Any?): Boolean = other is CallOutcome &&
        status == other.status &&
        headers == other.headers &&
        body.contentEquals(other.body) &&
        isBodyKept == other.isBodyKept

    override fun hashCode(): Int = 31 * status + body.contentHashCode()
}

/** A record of the log stream `orders`. */
@Serializable
internal sealed interface OrderRecord {
    val key: OrderKey
    val claimId: Long

    /** Claims a key. The first claim of a free key gives [claimant] the sole right to send. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        override val key: OrderKey,
        override val claimId: Long,
        val claimant: InstanceId,
        val bodyHash: Digest,
        val issuedAt: Long
    ) : OrderRecord

    /** Replaces the claim [previous]; only for services that deduplicate calls by key. */
    @Serializable
    @SerialName("takeover")
    data class Takeover(
        override val key: OrderKey,
        override val claimId: Long,
        val claimant: InstanceId,
        val previous: Long
    ) : OrderRecord

    /** The call of the claim was executed. */
    @Serializable
    @SerialName("outcome")
    data class Outcome(
        override val key: OrderKey,
        override val claimId: Long,
        val outcome: CallOutcome
    ) : OrderRecord

    /** The claimant did not send the call and never will under this claim. */
    @Serializable
    @SerialName("released")
    data class Released(
        override val key: OrderKey,
        override val claimId: Long,
        val issuedAt: Long
    ) : OrderRecord
}
