package io.greengageport.ports

import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The platform's lagging list of live and leaving instances and backend servers. */
public interface InstanceList {
    public suspend fun list(): Result<InstanceListing, PlatformError>
}

/** One answer of the instance list. */
@Serializable
public data class InstanceListing(
    val runners: List<ListedRunner> = emptyList(),
    val instances: List<ListedInstance> = emptyList()
)

/** Whether a listed process takes new work. */
@Serializable
public enum class ListedState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING
}

/** A backend server of the list; [layers] is null for a plain service. */
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

/** An entry instance of the list with its peer address. */
@Serializable
public data class ListedInstance(
    val id: InstanceId,
    @SerialName("peer_address") val peerAddress: String,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val state: ListedState = ListedState.LIVE
)

/** Why a call to the platform, other than to its log, failed. */
public sealed interface PlatformError {
    /** No answer, or an answer that says that the platform is unavailable. */
    public data class Unavailable(val reason: String) : PlatformError

    /** The answer cannot be decoded. */
    public data class Malformed(val reason: String) : PlatformError
}
