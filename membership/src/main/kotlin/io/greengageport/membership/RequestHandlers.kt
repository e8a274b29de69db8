package io.greengageport.membership

import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger

/** Runs the handlers of requests from peers, with a concurrency limit per connection. */
internal class RequestHandlers(private val scope: CoroutineScope, private val clock: Clock) {
    private val handlers =
        ConcurrentHashMap<String, suspend (InstanceId, ByteArray) -> ByteArray>()

    fun add(channel: String, handler: suspend (InstanceId, ByteArray) -> ByteArray) {
        val existing = handlers.putIfAbsent(channel, handler)
        require(existing == null) { "channel $channel already has a handler" }
    }

    /**
     * Starts the handler of the request [frame]. Its reply is sent on [connection]; a missing or
     * failed handler and too many concurrent requests are answered by a failure frame.
     */
    fun handle(connection: Connection, frame: Frame) {
        val handler = handlers[frame.channel]
            ?: return replyFailure(connection, frame, "no handler for channel ${frame.channel}")
        if (connection.activeRequests.incrementAndGet() > MAX_CONCURRENT_REQUESTS) {
            connection.activeRequests.decrementAndGet()
            return replyFailure(connection, frame, "too many concurrent requests")
        }
        scope.launch {
            try {
                val reply = handler(connection.peer, frame.body)
                require(reply.size <= FrameCodec.MAX_PAYLOAD_BYTES) {
                    "reply of ${reply.size} bytes exceeds ${FrameCodec.MAX_PAYLOAD_BYTES} bytes"
                }
                sendResponse(connection, Frame(RESPONSE, frame.correlation, "", reply))
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                Logger.warn(e) { "membership: handler of channel ${frame.channel} failed" }
                replyFailure(connection, frame, "handler failed: ${e.javaClass.simpleName}")
            } finally {
                connection.activeRequests.decrementAndGet()
            }
        }
    }

    private fun replyFailure(connection: Connection, frame: Frame, reason: String) =
        sendResponse(connection, Frame(FAILURE, frame.correlation, reason, ByteArray(0)))

    private fun sendResponse(connection: Connection, frame: Frame) {
        connection.offer(frame, clock.monotonicMillis())
    }

    private companion object {
        const val MAX_CONCURRENT_REQUESTS = 128
        val RESPONSE = FrameKind.RESPONSE.ordinal
        val FAILURE = FrameKind.FAILURE.ordinal
    }
}
