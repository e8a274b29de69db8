package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName

/**
 * A backend server as known to routing.
 *
 * [layers] is null for a plain service. [tokensPerSecond] is the nominal service rate for the whole
 * layer range (requests per second for a plain service), which is used until a load report states
 * the rate. A runner that joined at [joinedAtMillis] (monotonic clock) is warmed up by [SlowStart];
 * null means that it was already running when this instance started. Only engines have an
 * [accelerator].
 */
public data class Runner(
    val id: RunnerId,
    val service: ServiceName,
    val dataCentre: DataCentre,
    val layers: LayerRange? = null,
    val tokensPerSecond: Double = DEFAULT_RATE,
    val joinedAtMillis: Long? = null,
    val address: String = "",
    val bootId: String = "",
    val version: String = "",
    val isLeaving: Boolean = false,
    val accelerator: Accelerator? = null
) {
    init {
        require(tokensPerSecond > 0) { "the rate of $id must be positive, but is $tokensPerSecond" }
    }

    public companion object {
        /** Tokens per second assumed if neither the instance list nor a report states a rate. */
        public const val DEFAULT_RATE: Double = 1_000.0
    }
}
