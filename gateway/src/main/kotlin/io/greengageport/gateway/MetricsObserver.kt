package io.greengageport.gateway

import io.greengageport.common.Clock
import io.greengageport.common.ServiceName
import io.greengageport.gateway.forward.AttemptEnd
import io.greengageport.gateway.forward.ForwardObserver
import io.greengageport.gateway.forward.RequestContext
import io.prometheus.metrics.core.metrics.Histogram

/** Records the number and the duration of requests and attempts in [metrics]. */
internal class MetricsObserver(private val metrics: GatewayMetrics, private val clock: Clock) :
    ForwardObserver {
    override fun onAttempt(service: ServiceName, end: AttemptEnd) {
        metrics.attempts.labelValues(service.value, end::class.simpleName).inc()
    }

    override fun onFirstEvent(context: RequestContext): Unit = observe(context, metrics.latency)

    override fun onEnd(context: RequestContext, outcome: String) {
        val service = context.service.name.value
        metrics.requests.labelValues(service, context.priority.toString(), outcome).inc()
        if (!context.route.isStreaming) observe(context, metrics.latency)
        observe(context, metrics.duration)
    }

    private fun observe(context: RequestContext, histogram: Histogram) {
        val millis = clock.monotonicMillis() - context.arrivedAtMillis
        histogram.labelValues(context.service.name.value, context.priority.toString())
            .observe(millis / MILLIS_PER_SECOND)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1e3
    }
}
