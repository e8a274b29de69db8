package io.greengageport.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** The metrics of an instance, exposed in the Prometheus text format. */
internal class GatewayMetrics {
    private val registry = PrometheusRegistry()

    /** Requests by service, priority and outcome. */
    val requests: Counter = Counter.builder()
        .name("greengageport_gateway_requests_total")
        .help("Requests of callers by outcome.")
        .labelNames("service", "priority", "outcome")
        .register(registry)

    val attempts: Counter = Counter.builder()
        .name("greengageport_gateway_attempts_total")
        .help("Attempts at backend servers by how they ended.")
        .labelNames("service", "end")
        .register(registry)

    val latency: Histogram = Histogram.builder()
        .name("greengageport_gateway_latency_seconds")
        .help("Time from arrival to the first event, or to the whole answer of a plain service.")
        .labelNames("service", "priority")
        .classicUpperBounds(0.02, 0.05, 0.1, 0.15, 0.2, 0.34, 0.5, 0.75, 1.0, 2.0, 5.0, 20.0)
        .classicOnly()
        .register(registry)

    val duration: Histogram = Histogram.builder()
        .name("greengageport_gateway_duration_seconds")
        .help("Time from arrival to the end of the answer.")
        .labelNames("service", "priority")
        .classicUpperBounds(0.05, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
        .classicOnly()
        .register(registry)

    val configurationVersion: Gauge = Gauge.builder()
        .name("greengageport_gateway_configuration_version")
        .help("Version of the configuration in force.")
        .register(registry)

    val servers: Gauge = Gauge.builder()
        .name("greengageport_gateway_backend_servers")
        .help("Known backend servers that may get work, by service.")
        .labelNames("service")
        .register(registry)

    val peerBytes: Counter = Counter.builder()
        .name("greengageport_gateway_peer_sent_bytes_total")
        .help("Bytes of the reports sent to other instances.")
        .register(registry)

    /** Returns all metrics in the Prometheus text format, encoded in UTF-8. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }
}
