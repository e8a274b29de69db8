package io.greengageport.ports

import com.github.michaelbull.result.Result
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The load reports of backend servers, published by the platform with a delay. */
public interface LoadReports {
    /** Fetches the latest report of each backend server. */
    public suspend fun latest(): Result<List<LoadReport>, PlatformError>
}

/**
 * Load of one backend server at [reportedAtMillis] on the wall clock.
 *
 * [bootId] changes when the process restarts. [queuedTokens] is the remaining work, and
 * [tokensPerSecond] the service rate of the runner for its whole layer range.
 */
@Serializable
public data class LoadReport(
    val runner: RunnerId,
    val service: ServiceName,
    @SerialName("boot_id") val bootId: String = "",
    @SerialName("reported_at_ms") val reportedAtMillis: Long = 0,
    val running: Int = 0,
    @SerialName("queued_tokens") val queuedTokens: Long = 0,
    @SerialName("tokens_per_second") val tokensPerSecond: Double = 0.0,
    val layers: LayerRange? = null,
    val version: String = "",
    val leaving: Boolean = false,
    /** `serving` or `standby`; a runner that does not report a role is serving. */
    val role: String = ""
) {
    /** Whether the runner has its layers loaded but was ordered to accept no requests. */
    public val isStandby: Boolean get() = role == "standby"
}
