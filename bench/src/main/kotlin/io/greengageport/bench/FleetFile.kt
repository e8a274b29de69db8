package io.greengageport.bench

import com.charleskorn.kaml.Yaml
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromString

/** The processes of a local fleet, as a YAML file describes them. */
@Serializable
public data class FleetFile(
    val platform: PlatformSpec = PlatformSpec(),
    /** Settings to publish at the start, relative to the file. */
    val settings: String,
    val instances: List<InstanceSpec>,
    val engines: List<EngineSpec> = emptyList(),
    val plain: List<PlainSpec> = emptyList(),
    /** Names of the processes that others reach through a [TcpRelay]. */
    val relayed: List<String> = emptyList()
) {
    public companion object {
        /** Reads the file at [path]. */
        public fun load(path: Path): FleetFile =
            Yaml.default.decodeFromString<FleetFile>(Files.readString(path))
    }
}

/** Times of the platform stand-in. */
@Serializable
public data class PlatformSpec(
    @SerialName("list_lag_ms") val listLagMillis: Long = 300,
    @SerialName("load_lag_ms") val loadLagMillis: Long = 300,
    @SerialName("retention_ms") val retentionMillis: Long = 3_600_000
)

/** An entry instance; [policies], [times] and [snapshots] go into its settings file as they are. */
@Serializable
public data class InstanceSpec(
    val id: String,
    @SerialName("data_centre") val dataCentre: String = "dc1",
    val policies: Map<String, String> = emptyMap(),
    val times: Map<String, Long> = emptyMap(),
    val snapshots: Map<String, Long> = emptyMap(),
    @SerialName("heap_mb") val heapMegabytes: Int = 192,
    /** Not started with the fleet, but by a later call. */
    @SerialName("starts_later") val startsLater: Boolean = false
)

/** A model engine. */
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
    /** Model version that the engine holds at its start. */
    val version: String = ""
) {
    internal fun arguments(platform: String, advertised: String?): List<String> = buildList {
        add("engine")
        option("--id", id)
        option("--service", service)
        option("--data-centre", dataCentre)
        option("--platform", platform)
        option("--from", from.toString())
        option("--until", until.toString())
        option("--step-ms", stepMillis.toString())
        option("--batch", batch.toString())
        option("--hop-ms", hopMillis.toString())
        option("--load-ms", loadMillis.toString())
        option("--accelerator", accelerator)
        if (ignoresFencing) add("--ignores-fencing")
        advertised?.let { option("--advertise", it) }
        crashMarker?.let { option("--crash-marker", it) }
        if (version.isNotEmpty()) option("--version-loaded", version)
    }
}

/** A runner of a plain service. */
@Serializable
public data class PlainSpec(
    val id: String,
    val service: String,
    @SerialName("data_centre") val dataCentre: String = "dc1",
    val deduplicates: Boolean = false
) {
    internal fun arguments(platform: String, advertised: String?): List<String> = buildList {
        add("plain")
        option("--id", id)
        option("--service", service)
        option("--data-centre", dataCentre)
        option("--platform", platform)
        advertised?.let { option("--advertise", it) }
        if (deduplicates) add("--deduplicates")
    }
}

private fun MutableList<String>.option(name: String, value: String) {
    add(name)
    add(value)
}
