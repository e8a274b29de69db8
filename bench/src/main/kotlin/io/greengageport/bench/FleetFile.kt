package io.greengageport.bench

import com.charleskorn.kaml.Yaml
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromString

/** The processes of a local fleet, read from a YAML file. */
@Serializable
public data class FleetFile(
    val platform: PlatformSpec = PlatformSpec(),
    /** Path of the settings to publish at the start, relative to the fleet file. */
    val settings: String,
    val instances: List<InstanceSpec>,
    val engines: List<EngineSpec> = emptyList(),
    val plain: List<PlainSpec> = emptyList(),
    /** Names of the processes that other processes reach through a [TcpRelay]. */
    val relayed: List<String> = emptyList()
) {
    public companion object {
        /** Reads the file at [path]. */
        public fun load(path: Path): FleetFile =
            Yaml.default.decodeFromString<FleetFile>(Files.readString(path))
    }
}

/** Delays of the instance list and load reports, and log retention, of the platform stand-in. */
@Serializable
public data class PlatformSpec(
    @SerialName("list_lag_ms") val listLagMillis: Long = 300,
    @SerialName("load_lag_ms") val loadLagMillis: Long = 300,
    @SerialName("retention_ms") val retentionMillis: Long = 3_600_000
)

/** An entry instance; [policies], [times] and [snapshots] go unchanged into its configuration. */
@Serializable
public data class InstanceSpec(
    val id: String,
    @SerialName("data_centre") val dataCentre: String = "dc1",
    val policies: Map<String, String> = emptyMap(),
    val times: Map<String, Long> = emptyMap(),
    val snapshots: Map<String, Long> = emptyMap(),
    @SerialName("heap_mb") val heapMegabytes: Int = 192,
    /** If true, [LocalFleet.start] does not start the instance. */
    @SerialName("starts_later") val startsLater: Boolean = false
)

/**
 * A model engine that holds the layers from [from] (inclusive) to [until] (exclusive).
 *
 * [stepMillis] is the nominal duration of a batch of up to [batch] steps over the whole layer
 * range, [hopMillis] the delay before each call to the next stage and [loadMillis] the time to load
 * a model version. A prompt that contains [crashMarker] ends the process.
 */
@Serializable
public data class EngineSpec(
    val id: String,
    val service: String,
    @SerialName("data_centre") val dataCentre: String = "dc1",
    val from: Int = 0,
    val until: Int = 12,
    @SerialName("step_ms") val stepMillis: Long = 0,
    val batch: Int = 16,
    @SerialName("hop_ms") val hopMillis: Long = 0,
    @SerialName("load_ms") val loadMillis: Long = 200,
    val accelerator: String = "standard",
    @SerialName("ignores_fencing") val ignoresFencing: Boolean = false,
    @SerialName("crash_marker") val crashMarker: String? = null,
    /** Model version that the engine has loaded at its start; if empty, its default. */
    val version: String = ""
) {
    internal fun arguments(platform: String, advertised: String?): List<String> = buildList {
        add("engine")
        addOption("--id", id)
        addOption("--service", service)
        addOption("--data-centre", dataCentre)
        addOption("--platform", platform)
        addOption("--from", from.toString())
        addOption("--until", until.toString())
        addOption("--step-ms", stepMillis.toString())
        addOption("--batch", batch.toString())
        addOption("--hop-ms", hopMillis.toString())
        addOption("--load-ms", loadMillis.toString())
        addOption("--accelerator", accelerator)
        if (ignoresFencing) add("--ignores-fencing")
        advertised?.let { addOption("--advertise", it) }
        crashMarker?.let { addOption("--crash-marker", it) }
        if (version.isNotEmpty()) addOption("--version-loaded", version)
    }
}

/** A runner of a plain service; if [deduplicates] is true, it runs each idempotency key once. */
@Serializable
public data class PlainSpec(
    val id: String,
    val service: String,
    @SerialName("data_centre") val dataCentre: String = "dc1",
    val deduplicates: Boolean = false
) {
    internal fun arguments(platform: String, advertised: String?): List<String> = buildList {
        add("plain")
        addOption("--id", id)
        addOption("--service", service)
        addOption("--data-centre", dataCentre)
        addOption("--platform", platform)
        advertised?.let { addOption("--advertise", it) }
        if (deduplicates) add("--deduplicates")
    }
}

private fun MutableList<String>.addOption(name: String, value: String) {
    add(name)
    add(value)
}
