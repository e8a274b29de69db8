package io.greengageport.gateway.port

import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.http.OutgoingRequest
import io.greengageport.gateway.model.BackendServer
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** The names and formats in which callers, backend servers and this system talk. */
public interface BackendProtocol {
    /** Reads what the headers of a caller's request say. */
    public fun readCaller(request: HttpRequest): CallerHeaders

    /** The headers for a backend server: those of the caller and what [dispatch] sets. */
    public fun requestHeaders(original: HttpHeaders, dispatch: Dispatch): HttpHeaders

    /** Reads what the head of a backend server's answer says. */
    public fun readAnswer(response: HttpResponse): AnswerHeaders

    /** The request for a [BackendReport]. */
    public fun reportRequest(): OutgoingRequest

    /** Decodes the answer to [reportRequest], or returns null if it is unusable. */
    public fun readReport(reply: HttpReply): BackendReport?

    /** The order to hold exactly [layers], valid only in the state after [expectedOrders]. */
    public fun placementOrder(
        layers: LayerRange,
        fencingToken: Long,
        expectedOrders: Long
    ): OutgoingRequest
}

/** What a caller's headers say; null where they don't. */
public data class CallerHeaders(
    val attemptId: String?,
    val deadlineMillis: Long?,
    val apiKey: String?,
    val promptTokens: Int?,
    val maxAnswerTokens: Int?,
    val lastEventId: Long?
)

/** What this system tells a backend server with one attempt of a request. */
public data class Dispatch(
    val server: BackendServer,
    val remainingMillis: Long,
    val organisation: String?,
    val priority: Int? = null,
    val chain: List<ChainStage> = emptyList(),
    val resumeAfterEvent: Long? = null
)

/** One stage of a chain: the layers that the engine at [address] runs. */
public data class ChainStage(val address: HostPort, val layers: LayerRange)

/** What the head of a backend server's answer says. */
public data class AnswerHeaders(
    /** The id of the attempt that is answered. */
    val attemptId: String?,
    /** The server states that it did not and will not run the request. */
    val isNotRun: Boolean,
    /** The digest that every genuine answer bears. */
    val hasDigest: Boolean,
    /** The address of the stage that could not do its part. */
    val failedStage: HostPort?,
    val load: ReportedLoad?,
    /** How long the server keeps an idle connection, in milliseconds. */
    val keepAliveMillis: Long?,
    /** The server that answers is leaving and wants no new work. */
    val isServerLeaving: Boolean = false,
    /** The server that refuses wants no work for so long, in milliseconds. */
    val pauseMillis: Long? = null
)

/** Requests that run and wait at a backend server, as of its last answer. */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)

/**
 * The state of an engine at the time of asking, less some hundred milliseconds.
 *
 * [acceptedOrders] counts orders since the start at [startedAtMillis]. [slowness] above 1 means
 * that the engine is slower than its card. [stalledStages] are addresses that it waits for.
 */
public data class BackendReport(
    val startedAtMillis: Long?,
    val acceptedOrders: Long,
    val isBusy: Boolean,
    val layers: LayerRange?,
    val activeRequests: Int,
    val queuedRequests: Int,
    val slowness: Double,
    val stalledStages: List<HostPort>
)
