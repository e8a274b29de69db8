package io.greengageport.entry

import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.settings.Fate
import io.greengageport.settings.Problem
import io.greengageport.settings.Rejection
import io.greengageport.settings.SettingsPath
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Answer of `GET /admin/status`. [notReadyBecause] is empty if the instance is ready.
 * [isPlacementHolder] tells whether it holds the lease to send placement orders to engines.
 */
@Serializable
public data class InstanceStatus(
    val instance: InstanceId,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val ready: Boolean,
    @SerialName("not_ready_because") val notReadyBecause: List<String>,
    val draining: Boolean,
    @SerialName("requests_in_flight") val requestsInFlight: Int,
    val settings: SettingsStatus,
    val members: List<MemberStatus>,
    val runners: List<RunnerStatus>,
    val services: List<ServiceStatus>,
    val ledger: LedgerState,
    @SerialName("placement_holder") val isPlacementHolder: Boolean = false
)

/**
 * The settings in force at an instance. [current] tells whether they are known to be the newest,
 * [secondsSinceProof] how long ago the log or a live peer last proved it; null if never.
 */
@Serializable
public data class SettingsStatus(
    val version: Long,
    val hash: String,
    val current: Boolean,
    @SerialName("seconds_since_proof") val secondsSinceProof: Double?
)

/**
 * A live instance as seen by another instance. [adminAddress] is empty until it is received by
 * gossip.
 */
@Serializable
public data class MemberStatus(
    val id: InstanceId,
    @SerialName("peer_address") val peerAddress: String,
    @SerialName("admin_address") val adminAddress: String,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val leaving: Boolean
)

/** A backend server as seen by an instance. */
@Serializable
public data class RunnerStatus(
    val id: RunnerId,
    val service: ServiceName,
    val address: String,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val layers: String,
    val state: String,
    @SerialName("queued_tokens") val queuedTokens: Double,
    @SerialName("tokens_per_second") val tokensPerSecond: Double
)

/**
 * The admission state of a service at an instance. [boundTokensPerSecond] is the upper bound on the
 * rate of the whole fleet, without ejected runners.
 */
@Serializable
public data class ServiceStatus(
    val name: ServiceName,
    val queued: Int,
    @SerialName("in_flight") val inFlight: Int,
    val slots: Int,
    @SerialName("fleet_bound_tokens_per_second") val boundTokensPerSecond: Double
)

/**
 * The state of the ledger of non-idempotent calls at an instance. While the log is unavailable,
 * [outageMillis] is the time after which a retry makes sense; null otherwise.
 */
@Serializable
public data class LedgerState(
    val ready: Boolean,
    val keys: Int,
    @SerialName("open_claims") val openClaims: Int,
    @SerialName("queued_records") val queuedRecords: Int,
    @SerialName("outage_ms") val outageMillis: Long?
)

/**
 * Answer of `GET /admin/settings`: the documents at and below a path as YAML. [version] is that of
 * all settings; [baseVersion] is that of the path, to be sent back when a change is published.
 */
@Serializable
public data class SettingsPage(
    val path: SettingsPath,
    val version: Long,
    @SerialName("base_version") val baseVersion: Long,
    val yaml: String
)

/** One line of `GET /admin/settings/list`. */
@Serializable
public data class SettingsLine(val path: SettingsPath, val version: Long)

/** One line of `GET /admin/settings/history`; [yaml] is null for a removal. */
@Serializable
public data class HistoryLine(
    val version: Long,
    @SerialName("appended_at_ms") val appendedAtMillis: Long,
    @SerialName("change_id") val changeId: String,
    val author: String,
    val path: SettingsPath,
    val yaml: String?
)

/** Body of `POST /admin/settings/publish`. If [yaml] is null, the path is removed. */
@Serializable
public data class PublishRequest(
    val path: SettingsPath,
    @SerialName("base_version") val baseVersion: Long,
    val author: String,
    val yaml: String? = null
)

/**
 * Body of `POST /admin/settings/roll-forward`, which publishes again the value that the change with
 * version [toVersion] gave to [path].
 */
@Serializable
public data class RollForwardRequest(
    val path: SettingsPath,
    @SerialName("base_version") val baseVersion: Long,
    val author: String,
    @SerialName("to_version") val toVersion: Long
)

/**
 * Answer to a request that publishes a change.
 *
 * [version] is set for an accepted change and [rejection] for a rejected one. A malformed change
 * has [problems] or a [reason], and no [changeId]; the other results have a [reason].
 */
@Serializable
public data class PublishReply(
    val result: PublishResult,
    @SerialName("change_id") val changeId: String = "",
    val version: Long? = null,
    val rejection: Rejection? = null,
    val problems: List<Problem> = emptyList(),
    val reason: String = ""
)

/** The result of publishing a change. */
@Serializable
public enum class PublishResult {
    /** The change is applied. */
    @SerialName("accepted")
    ACCEPTED,

    /** The change is rejected permanently. */
    @SerialName("rejected")
    REJECTED,

    /** The change may have been applied or may still be; its fate can be queried by its id. */
    @SerialName("undecided")
    UNDECIDED,

    /** The change is not in the log and cannot appear there later. */
    @SerialName("not_appended")
    NOT_APPENDED,

    /** The request or its YAML could not be parsed, or names an unknown version. */
    @SerialName("malformed")
    MALFORMED
}

/** Answer of `GET /admin/settings/changes/{id}`; [fate] is null while it is unknown. */
@Serializable
public data class FateReply(val fate: Fate? = null, val reason: String = "")
