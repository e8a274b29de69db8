package io.greengageport.gateway.forward

/**
 * A request that was read completely and has not ended. Its [phase] tells what the end of the
 * process would cost its caller.
 */
internal class ActiveRequest(
    val attemptId: String?,
    val arrivedAtMillis: Long,
    private val response: CallerResponse
) {
    /** The request with its route, or null until the route is resolved. */
    var context: RequestContext? = null

    val phase: Phase
        get() = when {
            response.isComplete -> Phase.ANSWERED
            response.isStarted -> Phase.ANSWERING
            context?.isAtServer == true -> Phase.AT_SERVER
            else -> Phase.WAITING
        }

    /** How far a request has come. */
    enum class Phase {
        /** At no backend server: it waits for the configuration, for admission or for a retry. */
        WAITING,

        /** Sent to a backend server that has not begun its answer. */
        AT_SERVER,

        /** The answer has begun. */
        ANSWERING,

        /** The answer was sent to its end. */
        ANSWERED
    }
}
