package io.greengageport.entry

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.settings.KeyHash
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromString

/**
 * The settings file of one instance: its name, its addresses and the URL of the platform.
 *
 * ```yaml
 * instance: entry-1
 * data_centre: dc1
 * listen: { callers: "127.0.0.1:8080", admin: "127.0.0.1:8081", peers: "127.0.0.1:8082" }
 * platform: "http://127.0.0.1:9000"
 * seeds: ["127.0.0.1:8182"]
 * peer_secret: "from the platform's secret store"
 * ```
 */
@Serializable
public data class InstanceConfig(
    val instance: InstanceId,
    @SerialName("data_centre") val dataCentre: DataCentre,
    val listen: ListenConfig,
    val platform: String,
    val seeds: List<String> = emptyList(),
    @SerialName("peer_secret") val peerSecret: String,
    val bounds: BoundsConfig = BoundsConfig(),
    val times: TimesConfig = TimesConfig(),
    val policies: PolicyConfig = PolicyConfig(),
    val snapshots: SnapshotConfig = SnapshotConfig(),
    /** SHA-256 of a key for the admin port, in addition to the keys of teams; empty for none. */
    @SerialName("admin_key_hash") val adminKeyHash: String = ""
) {
    public companion object {
        /** Reads and validates the file at [path]. */
        public fun load(path: Path): Result<InstanceConfig, ConfigError> = try {
            validate(Yaml.default.decodeFromString<InstanceConfig>(Files.readString(path)))
        } catch (e: YamlException) {
            Err(ConfigError.Malformed(path.toString(), e.line, e.message))
        } catch (e: java.io.IOException) {
            Err(ConfigError.Unreadable(path.toString(), e.toString()))
        } catch (e: IllegalArgumentException) {
            Err(ConfigError.Malformed(path.toString(), 0, e.message.orEmpty()))
        }

        private fun validate(c: InstanceConfig): Result<InstanceConfig, ConfigError> {
            val l = c.listen
            val advertised = listOf(l.advertisedPeers).filter { it.isNotEmpty() }
            val listen = listOf(l.callers, l.admin, l.peers) + advertised
            val bad = (listen + c.seeds).firstOrNull { HostPort.parseOrNull(it) == null }
            return when {
                bad != null -> Err(ConfigError.Invalid("an address is host:port, not '$bad'"))

                c.peerSecret.length < MIN_SECRET_CHARS ->
                    Err(
                        ConfigError.Invalid("peer_secret has at least $MIN_SECRET_CHARS characters")
                    )

                !c.platform.startsWith("http://") && !c.platform.startsWith("https://") ->
                    Err(ConfigError.Invalid("platform is a URL, not '${c.platform}'"))

                else -> rangeError(c)?.let { Err(ConfigError.Invalid(it)) } ?: Ok(c)
            }
        }

        /**
         * Returns a message on the first value out of its range, or null. A polling period of 0 ms,
         * for example, would keep a core busy.
         */
        private fun rangeError(c: InstanceConfig): String? {
            val b = c.bounds
            val t = c.times
            val hash = c.adminKeyHash
            if (hash.isNotEmpty() && !KeyHash(hash).isValid) {
                return "admin_key_hash is a SHA-256 hash as 64 lower-case hexadecimal digits"
            }
            return listOf(
                Triple("bounds.max_body_bytes", b.maxBodyBytes, 1L..MAX_BODY_BYTES),
                Triple("bounds.max_header_bytes", b.maxHeaderBytes, 1L..MAX_HEADER_BYTES),
                Triple("bounds.max_requests", b.maxRequests.toLong(), 1L..MAX_REQUESTS),
                Triple("bounds.max_connections", b.maxConnections.toLong(), 1L..MAX_REQUESTS),
                Triple("bounds.idle_connection_s", b.idleConnectionSeconds.toLong(), 1L..DAY_S),
                Triple("snapshots.every_records", c.snapshots.everyRecords.toLong(), SNAPSHOTS),
                Triple("times.list_poll_ms", t.listPollMillis, POLL_RANGE_MILLIS),
                Triple("times.load_poll_ms", t.loadPollMillis, POLL_RANGE_MILLIS),
                Triple("times.connect_timeout_ms", t.connectTimeoutMillis, 1L..MINUTE_MILLIS),
                Triple("times.frame_timeout_ms", t.frameTimeoutMillis, 1L..10 * MINUTE_MILLIS),
                Triple("times.drain_limit_ms", t.drainLimitMillis, 0L..DAY_S * 1_000),
                Triple("times.drain_notice_ms", t.drainNoticeMillis, 0L..10 * MINUTE_MILLIS)
            ).firstOrNull { (_, value, allowed) -> value !in allowed }
                ?.let { (key, value, allowed) ->
                    "$key is from ${allowed.first} to ${allowed.last}, not $value"
                }
        }

        private const val MIN_SECRET_CHARS = 16
        private const val MAX_BODY_BYTES = 64L * 1_024 * 1_024
        private const val MAX_HEADER_BYTES = 1_024L * 1_024
        private const val MAX_REQUESTS = 1_000_000L
        private const val DAY_S = 86_400L
        private const val MINUTE_MILLIS = 60_000L
        private val POLL_RANGE_MILLIS = 10L..MINUTE_MILLIS

        /** Fewer than the records at the end of the log that a new reader searches first. */
        private val SNAPSHOTS = 1L..2_000L
    }
}

/** Addresses on which an instance listens, each `host:port`; port 0 asks for a free port. */
@Serializable
public data class ListenConfig(
    val callers: String,
    val admin: String,
    val peers: String,
    /** The address under which other instances reach [peers]; empty if it is the same. */
    @SerialName("advertised_peers") val advertisedPeers: String = ""
)

/** Limits on requests and connections of callers. */
@Serializable
public data class BoundsConfig(
    @SerialName("max_body_bytes") val maxBodyBytes: Long = 1_048_576,
    @SerialName("max_header_bytes") val maxHeaderBytes: Long = 16_384,
    @SerialName("max_requests") val maxRequests: Int = 4_096,
    @SerialName("max_connections") val maxConnections: Int = 8_192,
    @SerialName("idle_connection_s") val idleConnectionSeconds: Int = 60
)

/** Periods and timeouts of an instance, in milliseconds. */
@Serializable
public data class TimesConfig(
    @SerialName("list_poll_ms") val listPollMillis: Long = 1_000,
    @SerialName("load_poll_ms") val loadPollMillis: Long = 500,
    @SerialName("connect_timeout_ms") val connectTimeoutMillis: Long = 250,
    /** Minimum time without a token after which a stage counts as failed. */
    @SerialName("frame_timeout_ms") val frameTimeoutMillis: Long = 600,
    /** Time for which a draining instance waits for its requests in flight. */
    @SerialName("drain_limit_ms") val drainLimitMillis: Long = 120_000,
    /** Time between becoming unready and refusing requests, for the load balancer to react. */
    @SerialName("drain_notice_ms") val drainNoticeMillis: Long = 1_000
)

/** When this instance writes a snapshot of the settings to the log. */
@Serializable
public data class SnapshotConfig(
    /** Number of records, not counting snapshots, after which a snapshot is due. */
    @SerialName("every_records") val everyRecords: Int = 1_000
)

/** Selects each policy or its naive baseline, for measurements. */
@Serializable
public data class PolicyConfig(
    val planner: PlannerPolicy = PlannerPolicy.SHORTEST,
    val queue: QueuePolicy = QueuePolicy.FAIR,
    val retry: RetryPolicy = RetryPolicy.BUDGET
)

/** How a chain of runners is chosen; all but [SHORTEST] are baselines. */
@Serializable
public enum class PlannerPolicy {
    @SerialName("shortest")
    SHORTEST,

    @SerialName("least_queue")
    LEAST_QUEUE,

    @SerialName("first_fit")
    FIRST_FIT
}

/** The order in which queued requests are admitted; [FIFO] is a baseline. */
@Serializable
public enum class QueuePolicy {
    @SerialName("fair")
    FAIR,

    @SerialName("fifo")
    FIFO
}

/**
 * When failed attempts of model requests are retried: within the retry budget and the service's
 * limit on attempts, or, as a baseline, always and without delay.
 */
@Serializable
public enum class RetryPolicy {
    @SerialName("budget")
    BUDGET,

    @SerialName("always")
    ALWAYS
}

/** Why the settings file of an instance cannot be used. */
public sealed interface ConfigError {
    /** The file cannot be read. */
    public data class Unreadable(val path: String, val reason: String) : ConfigError

    /** The file is not YAML of the expected form. [line] is 0 if unknown. */
    public data class Malformed(val path: String, val line: Int, val reason: String) : ConfigError

    /** A value is invalid. */
    public data class Invalid(val reason: String) : ConfigError
}
