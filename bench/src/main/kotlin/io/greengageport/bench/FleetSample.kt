package io.greengageport.bench

import io.greengageport.standins.PlatformCounters
import java.lang.management.ManagementFactory
import kotlinx.serialization.json.Json

/** What the instances [names] have used and asked for until one moment. */
internal class FleetSample(private val names: List<String>, fleet: LocalFleet) {
    private val use = names.associateWith { ProcessUse.of(fleet.process(it).pid) }
    private val peers = names.associateWith { peerCounters(fleet, it) }
    private val platform = ProcessUse.of(fleet.platform.pid)
    private val atNanos = System.nanoTime()

    /** Counters of the platform stand-in. */
    val counters: PlatformCounters = json.decodeFromString(
        fleet.get("http://${fleet.platform.address}/counters").body()
    )

    /** Mean resident memory of an instance in MB. */
    val residentMegabytes: Double get() = use.values.map { it.residentBytes / MEGABYTE }.average()

    fun secondsSince(before: FleetSample): Double = (atNanos - before.atNanos) / NANOS_PER_SECOND

    /** CPU time of each instance in per cent of a core. */
    fun cpuSince(before: FleetSample): Map<String, Double> =
        names.associateWith { use.getValue(it).cpuPercentSince(before.use.getValue(it)) }

    /** CPU time of the platform stand-in in per cent of a core. */
    fun platformCpuSince(before: FleetSample): Double = platform.cpuPercentSince(before.platform)

    /** Mean bytes per second of an instance in all read and write calls. */
    fun transferredSince(before: FleetSample): Double =
        names.map { use.getValue(it).bytesPerSecondSince(before.use.getValue(it)) }.average()

    /** Mean rate per instance of the peer metric [name], sent and received. */
    fun peersSince(before: FleetSample, name: String): Double = names.sumOf {
        peers.getValue(it).getValue(name) - before.peers.getValue(it).getValue(name)
    } / secondsSince(before) / names.size

    /** Calls per second of all instances by kind, and their body bytes per second. */
    fun callsSince(before: FleetSample): Map<String, Pair<Double, Double>> =
        counters.calls.mapValues { (kind, now) ->
            val old = before.counters.calls[kind]
            val bytes = now.receivedBytes + now.sentBytes -
                (old?.run { receivedBytes + sentBytes } ?: 0)
            val s = secondsSince(before)
            (now.calls - (old?.calls ?: 0)) / s to bytes / s
        }

    companion object {
        const val FRAMES = "greengageport_peer_frames_total"
        const val BYTES = "greengageport_peer_bytes_total"
        private const val NANOS_PER_SECOND = 1e9
        private const val MEGABYTE = 1e6
        private val json = Json { ignoreUnknownKeys = true }

        /** The load average of the machine, which tells how much a figure may be disturbed. */
        fun loadAverage(): String =
            "%.1f".format(ManagementFactory.getOperatingSystemMXBean().systemLoadAverage)

        private fun peerCounters(fleet: LocalFleet, name: String): Map<String, Double> =
            fleet.get("http://${fleet.admin(name)}/metrics").body().lines()
                .filter { it.startsWith("greengageport_peer_") }
                .groupBy({ it.substringBefore('{') }, { it.substringAfterLast(' ').toDouble() })
                .mapValues { (_, directions) -> directions.sum() }
    }
}
