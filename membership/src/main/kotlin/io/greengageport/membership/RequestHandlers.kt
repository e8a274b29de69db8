package io.greengageport.membership

import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger

/** Runs the handlers of calls from peers, a bounded number at a time for each connection. */
internal class RequestHandlers(private val scope: CoroutineScope, private val clock: Clock) {
    private val handlers =
        ConcurrentHashMap<String, suspend (InstanceId, ByteArray) -> ByteArray>()

    fun add(channel: String, handler: suspend (InstanceId, ByteArray) -> ByteArray) {
        val old = handlers.putIfAbsent(channel, handler)
        require(old == null) { "channel $channel has a handler" }
    }

    fun handle(connection: Connection, frame: Frame) {
        val handler = handlers[frame.channel]
            ?: return fail(connection, frame, "no handler for channel ${frame.channel}")
        if (connection.handling.incrementAndGet() > MAX_CONCURRENT) {
            connection.handling.decrementAndGet()
            return fail(connection, frame, "too many concurrent requests")
        }
        scope.launch {
            try {
                val reply = handler(connection.peer, frame.body)
                require(reply.size <= FrameCodec.MAX_PAYLOAD_BYTES) {
                    "the reply of ${reply.size} bytes exceeds ${FrameCodec.MAX_PAYLOAD_BYTES}"
                }
                answer(connection, Frame(RESPONSE, frame.correlation, "", reply))
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                Logger.warn(e) { "membership: handler of channel ${frame.channel} failed" }
                fail(connection, frame, "handler failed: ${e.javaClass.simpleName}")
            } finally {
                connection.handling.decrementAndGet()
            }
        }
    }

    private fun fail(connection: Connection, frame: Frame, reason: String) =
        answer(connection, Frame(FAILURE, frame.correlation, reason, ByteArray(0)))

    private fun answer(connection: Connection, frame: Frame) {
        connection.offer(frame, clock.monotonicMillis())
    }

    private companion object {
        const val MAX_CONCURRENT = 128
        val RESPONSE = FrameKind.RESPONSE.ordinal
        val FAILURE = FrameKind.FAILURE.ordinal
    }
}
