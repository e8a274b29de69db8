package io.greengageport.entry

import io.greengageport.membership.PeerStats
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** The metrics of an instance, exported in the Prometheus text format at `/metrics`. */
internal class EntryMetrics(peers: (() -> PeerStats)? = null) {
    private val registry = PrometheusRegistry()

    /** Requests by service, rank, size class of the organisation and result code. */
    val requests: Counter = Counter.builder()
        .name("greengageport_requests_total")
        .help("Requests by result; code is ok or the error code.")
        .labelNames("service", "rank", "class", "code")
        .register(registry)

    val firstToken: Histogram = Histogram.builder()
        .name("greengageport_first_token_seconds")
        .help("Time from arrival to the first token.")
        .labelNames("service", "rank", "class")
        .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 15.0)
        .classicOnly()
        .register(registry)

    val tokenGap: Histogram = Histogram.builder()
        .name("greengageport_token_gap_seconds")
        .help("Time between consecutive tokens of an answer.")
        .labelNames("service", "rank")
        .classicUpperBounds(0.005, 0.01, 0.02, 0.04, 0.057, 0.1, 0.2, 0.5, 1.0)
        .classicOnly()
        .register(registry)

    val queueWait: Histogram = Histogram.builder()
        .name("greengageport_queue_wait_seconds")
        .help("Time from arrival to admission.")
        .labelNames("rank")
        .classicUpperBounds(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0)
        .classicOnly()
        .register(registry)

    val tokens: Counter = Counter.builder()
        .name("greengageport_tokens_total")
        .help("Tokens delivered to callers.")
        .labelNames("service", "rank", "class")
        .register(registry)

    val attempts: Counter = Counter.builder()
        .name("greengageport_attempts_total")
        .help("Attempts at backend servers by how they ended.")
        .labelNames("service", "end")
        .register(registry)

    val droppedFrames: Counter = Counter.builder()
        .name("greengageport_dropped_frames_total")
        .help("Frames of engines that were rejected.")
        .labelNames("reason")
        .register(registry)

    val inFlight: Gauge = Gauge.builder()
        .name("greengageport_requests_in_flight")
        .help("Requests that this instance is working on.")
        .register(registry)

    val connections: Gauge = Gauge.builder()
        .name("greengageport_caller_connections")
        .help("Open connections of callers.")
        .register(registry)

    val refusedConnections: Counter = Counter.builder()
        .name("greengageport_refused_connections_total")
        .help("Requests refused because their connection was above the bound.")
        .register(registry)

    val settingsVersion: Gauge = Gauge.builder()
        .name("greengageport_settings_version")
        .help("Version of the settings in force.")
        .register(registry)

    val settingsCurrent: Gauge = Gauge.builder()
        .name("greengageport_settings_current")
        .help("1 if the settings are shown to be the newest, else 0.")
        .register(registry)

    val members: Gauge = Gauge.builder()
        .name("greengageport_members")
        .help("Live entry instances in this instance's view.")
        .register(registry)

    val runners: Gauge = Gauge.builder()
        .name("greengageport_runners")
        .help("Backend servers by state.")
        .labelNames("service", "state")
        .register(registry)

    init {
        peers?.let(::registerPeers)
    }

    /** Returns the content of `/metrics`. */
    fun page(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private fun registerPeers(stats: () -> PeerStats) {
        CounterWithCallback.builder()
            .name("greengageport_peer_frames_total")
            .help("Frames of the peer protocol.")
            .labelNames("direction")
            .callback {
                val s = stats()
                it.call(s.sentFrames.toDouble(), "sent")
                it.call(s.receivedFrames.toDouble(), "received")
            }
            .register(registry)
        CounterWithCallback.builder()
            .name("greengageport_peer_bytes_total")
            .help("Bytes of the frames of the peer protocol, without TCP/IP headers.")
            .labelNames("direction")
            .callback {
                val s = stats()
                it.call(s.sentBytes.toDouble(), "sent")
                it.call(s.receivedBytes.toDouble(), "received")
            }
            .register(registry)
        CounterWithCallback.builder()
            .name("greengageport_peer_connections_opened_total")
            .help("Connections of the peer protocol that were opened.")
            .callback { it.call(stats().openedConnections.toDouble()) }
            .register(registry)
    }
}
