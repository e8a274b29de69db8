package io.greengageport.gateway.forward

import io.greengageport.common.ServiceName

/** Observes attempts and requests, for metrics. */
internal interface ForwardObserver {
    /** Called when an attempt at a server of [service] ended. */
    fun onAttempt(service: ServiceName, end: AttemptEnd)

    /** Called before the first event of a stream is sent to the caller. */
    fun onFirstEvent(context: RequestContext)

    /** Called when a request ended; [outcome] is its label in logs and metrics. */
    fun onEnd(context: RequestContext, outcome: String)
}
