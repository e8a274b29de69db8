package io.greengageport.ledger

import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Identifies a non-idempotent call: the same key from another organisation is another call. */
@Serializable
public data class OrderKey(
    val organisation: OrganisationName,
    val service: ServiceName,
    val key: String
) {
    internal fun digest(): Digest =
        Digest.of(organisation.value.encodeToByteArray(), service.value, key)

    private fun Digest.Companion.of(first: ByteArray, vararg rest: String): Digest =
        of(first, *rest.map { it.encodeToByteArray() }.toTypedArray())
}

/** The recorded answer of a backend server; [bodyKept] is false when the body was too large. */
@Serializable
public data class CallOutcome(
    val status: Int,
    val headers: Map<String, List<String>>,
    @ByteString val body: ByteArray,
    val bodyKept: Boolean = true
) {
    /** The outcome without its body, if the body exceeds [limit] bytes. */
    internal fun bounded(limit: Int): CallOutcome = if (body.size <= limit) this else withoutBody()

    internal fun withoutBody(): CallOutcome = copy(body = ByteArray(0), bodyKept = false)

    override fun equals(other: Any?): Boolean = other is CallOutcome &&
        status == other.status &&
        headers == other.headers &&
        body.contentEquals(other.body) &&
        bodyKept == other.bodyKept

    override fun hashCode(): Int = 31 * status + body.contentHashCode()
}

/** A record of the log stream `orders`. */
@Serializable
internal sealed interface OrderRecord {
    val key: OrderKey
    val claimId: Long

    /** The first claim of a free key gives its claimant the sole right to send the call. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        override val key: OrderKey,
        override val claimId: Long,
        val claimant: InstanceId,
        val bodyHash: Digest,
        val issuedAt: Long
    ) : OrderRecord

    /** Takes over claim [previous]; only for services whose backend server deduplicates by key. */
    @Serializable
    @SerialName("takeover")
    data class Takeover(
        override val key: OrderKey,
        override val claimId: Long,
        val claimant: InstanceId,
        val previous: Long
    ) : OrderRecord

    /** The call of the claim ran. */
    @Serializable
    @SerialName("outcome")
    data class Outcome(
        override val key: OrderKey,
        override val claimId: Long,
        val outcome: CallOutcome
    ) : OrderRecord

    /** The claimant surely did not send the call and never will for this claim. */
    @Serializable
    @SerialName("released")
    data class Released(
        override val key: OrderKey,
        override val claimId: Long,
        val issuedAt: Long
    ) : OrderRecord
}
