package io.greengageport.ports

import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The platform's list of live and leaving instances and backend servers; it can be stale. */
public interface InstanceList {
    /** Fetches the current list. */
    public suspend fun list(): Result<InstanceListing, PlatformError>
}

/** One response of the instance list. */
@Serializable
public data class InstanceListing(
    val runners: List<ListedRunner> = emptyList(),
    val instances: List<ListedInstance> = emptyList()
)

/** Whether a listed process accepts new work. */
@Serializable
public enum class ListedState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING
}

/** A listed backend server; [layers] is null for a plain service. */
@Serializable
public data class ListedRunner(
    val id: RunnerId,
    val service: ServiceName,
    val address: String,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val state: ListedState = ListedState.LIVE,
    val accelerator: String = "",
    val layers: LayerRange? = null
)

/** A listed entry instance with its peer address. */
@Serializable
public data class ListedInstance(
    val id: InstanceId,
    @SerialName("peer_address") val peerAddress: String,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val state: ListedState = ListedState.LIVE
)

/** Why a call to the platform failed; calls to its log have [LogError]. */
public sealed interface PlatformError {
    /** No response, or a response with an unexpected status. */
    public data class Unavailable(val reason: String) : PlatformError

    /** The response cannot be decoded. */
    public data class Malformed(val reason: String) : PlatformError
}
