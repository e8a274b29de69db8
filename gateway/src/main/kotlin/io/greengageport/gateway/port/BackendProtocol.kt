package io.greengageport.gateway.port

import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.http.OutgoingRequest
import io.greengageport.gateway.model.BackendServer
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** The header names and message formats shared by callers, backend servers and this system. */
public interface BackendProtocol {
    /** Parses the headers of a request from a caller. */
    public fun parseCallerHeaders(request: HttpRequest): CallerHeaders

    /** Returns the headers for a backend server: those of the caller and those of [dispatch]. */
    public fun requestHeaders(original: HttpHeaders, dispatch: Dispatch): HttpHeaders

    /** Parses the status and headers of a response from a backend server. */
    public fun parseResponse(response: HttpResponse): ResponseHeaders

    /** Returns the request that asks an engine for its [BackendReport]. */
    public fun reportRequest(): OutgoingRequest

    /** Decodes the response to [reportRequest], or returns null if it is invalid. */
    public fun parseReport(reply: HttpReply): BackendReport?

    /**
     * Returns the order to hold exactly [layers]. It is valid only if the engine has accepted
     * exactly [expectedOrders] orders since its start.
     */
    public fun placementOrder(
        layers: LayerRange,
        fencingToken: Long,
        expectedOrders: Long
    ): OutgoingRequest
}

/**
 * The values of a caller's headers; null if a header is absent or invalid.
 *
 * [timeToDeadlineMillis] is counted from the arrival of the request. [maxAnswerTokens] is an upper
 * bound on the length of the response. [lastEventId] is the last event that the caller has of a
 * stream that it resumes. [sharedPromptParts] are the ids of the parts of the prompt that other
 * requests may share, in their order.
 */
public data class CallerHeaders(
    val attemptId: String?,
    val timeToDeadlineMillis: Long?,
    val apiKey: String?,
    val promptTokens: Int?,
    val maxAnswerTokens: Int?,
    val lastEventId: Long?,
    val sharedPromptParts: List<String> = emptyList()
)

/**
 * The values that this system adds to the request of one attempt at a backend server.
 *
 * [remainingMillis] is the time until the deadline of the request. [priority] is null and [chain]
 * is empty for plain services. [resumeAfterEvent] is the id of the last event that the caller has
 * received, or null if the response starts from the beginning.
 */
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

/** The values in the head of a response from a backend server. */
public data class ResponseHeaders(
    /** The id of the attempt to which the response belongs. */
    val attemptId: String?,
    /** Whether the server states that it did not and will not run the request. */
    val isNotRun: Boolean,
    /** Whether the response has a digest header, which every valid response carries. */
    val hasDigest: Boolean,
    /** The address of the chain stage that failed, if the server names one. */
    val failedStage: HostPort?,
    val load: ReportedLoad?,
    /** How long the server keeps an idle connection, in milliseconds. */
    val keepAliveMillis: Long?,
    /** Whether the server is leaving and accepts no new work. */
    val isServerLeaving: Boolean = false,
    /** The time for which a server that refused wants no new work, in milliseconds. */
    val pauseMillis: Long? = null
)

/**
 * Numbers of running and waiting requests at a backend server, as of its last response. [slots] is
 * the number of requests that it can run at the same time.
 */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)

/**
 * The state of an engine; it may be some hundred milliseconds old.
 *
 * [acceptedOrders] counts orders since the start at [startedAtMillis]. A [slowness] above 1 means
 * that the engine is slower than its accelerator model should be. [stalledStages] are the addresses
 * of chain stages that it waits for.
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
