package io.greengageport.gateway.forward

import io.greengageport.common.ServiceName

/** Receives what becomes of requests; for metrics. */
internal interface ForwardObserver {
    fun onAttempt(service: ServiceName, end: AttemptEnd)

    fun onFirstEvent(context: RequestContext)

    fun onEnd(context: RequestContext, outcome: String)
}
