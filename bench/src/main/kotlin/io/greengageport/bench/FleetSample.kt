package io.greengageport.bench

import io.greengageport.standins.PlatformCounters
import java.lang.management.ManagementFactory
import kotlinx.serialization.json.Json

/** Cumulative resource usage and call counts of the instances [names] at one point in time. */
internal class FleetSample(private val names: List<String>, fleet: LocalFleet) {
    private val processes = names.associateWith { ProcessSample.of(fleet.process(it).pid) }
    private val peerCounters = names.associateWith { readPeerCounters(fleet, it) }
    private val platform = ProcessSample.of(fleet.platform.pid)
    private val atNanos = System.nanoTime()

    /** Counters of the platform stand-in. */
    val counters: PlatformCounters = json.decodeFromString(
        fleet.get("http://${fleet.platform.address}/counters").body()
    )

    /** Mean resident memory of an instance in MB. */
    val residentMegabytes: Double
        get() = processes.values.map { it.residentBytes / MEGABYTE }.average()

    /** Seconds between [before] and this sample. */
    fun secondsSince(before: FleetSample): Double = (atNanos - before.atNanos) / NANOS_PER_SECOND

    /** CPU usage of each instance since [before], in per cent of a core. */
    fun cpuPercentSince(before: FleetSample): Map<String, Double> = names.associateWith {
        processes.getValue(it).cpuPercentSince(before.processes.getValue(it))
    }

    /** CPU usage of the platform stand-in since [before], in per cent of a core. */
    fun platformCpuPercentSince(before: FleetSample): Double =
        platform.cpuPercentSince(before.platform)

    /** Mean bytes per second of an instance since [before] in all read and write calls. */
    fun bytesPerSecondSince(before: FleetSample): Double =
        names.map { processes.getValue(it).bytesPerSecondSince(before.processes.getValue(it)) }
            .average()

    /** Mean rate per second and instance of the peer metric [name], sent and received. */
    fun peerRateSince(before: FleetSample, name: String): Double = names.sumOf {
        peerCounters.getValue(it).getValue(name) - before.peerCounters.getValue(it).getValue(name)
    } / secondsSince(before) / names.size

    /** Calls per second of all instances and their body bytes per second, by kind of call. */
    fun callRatesSince(before: FleetSample): Map<String, Pair<Double, Double>> =
        counters.calls.mapValues { (kind, now) ->
            val old = before.counters.calls[kind]
            val bytes = now.receivedBytes + now.sentBytes -
                (old?.run { receivedBytes + sentBytes } ?: 0)
            val s = secondsSince(before)
            (now.calls - (old?.calls ?: 0)) / s to bytes / s
        }

    companion object {
        const val PEER_FRAMES = "greengageport_peer_frames_total"
        const val PEER_BYTES = "greengageport_peer_bytes_total"
        private const val NANOS_PER_SECOND = 1e9
        private const val MEGABYTE = 1e6
        private val json = Json { ignoreUnknownKeys = true }

        /** The load average of the machine; a high one means that the figures are less reliable. */
        fun formattedLoadAverage(): String =
            "%.1f".format(ManagementFactory.getOperatingSystemMXBean().systemLoadAverage)

        private fun readPeerCounters(fleet: LocalFleet, name: String): Map<String, Double> =
            fleet.get("http://${fleet.adminAddress(name)}/metrics").body().lines()
                .filter { it.startsWith("greengageport_peer_") }
                .groupBy({ it.substringBefore('{') }, { it.substringAfterLast(' ').toDouble() })
                .mapValues { (_, directions) -> directions.sum() }
    }
}
