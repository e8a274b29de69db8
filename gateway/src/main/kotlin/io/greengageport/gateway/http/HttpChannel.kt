package io.greengageport.gateway.http

import io.greengageport.gateway.logging.DecisionLog
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Coroutine interface to an HTTP/1.1 connection: receives and writes message parts one by one, with
 * back-pressure in both directions.
 *
 * It reads ahead by at most [READ_AHEAD] parts, so that a close by the peer is detected while no
 * coroutine receives. Must be used on the thread of the event loop only.
 */
public class HttpChannel
internal constructor(
    private val channel: Channel,
    private val log: DecisionLog,
    private val decoder: ResponseDecoder? = null
) : ChannelInboundHandlerAdapter() {
    private val received = ArrayDeque<HttpObject>()
    private var receiver: CancellableContinuation<Unit>? = null
    private val writers = ArrayList<CancellableContinuation<Unit>>()

    /** Whether the connection is closed; parts received before can still be taken. */
    public var isClosed: Boolean = false
        private set

    /** Why the connection failed, or null if it is open or was closed normally. */
    public var failure: Throwable? = null
        private set

    /** Called once when the connection closes. */
    public var onClosed: (() -> Unit)? = null

    /** Number of received parts that are waiting to be taken. */
    public val receivedCount: Int get() = received.size

    /** Whether received parts are waiting to be taken. */
    public val hasReceived: Boolean get() = received.isNotEmpty()

    /** Whether the connection can carry another request: it is open, and no bytes are left over. */
    public val isReusable: Boolean
        get() = !isClosing && !isClosed && !hasReceived && isFlushed &&
            decoder?.hasExcessBytes != true

    /** Number of written bytes that were not passed to the operating system yet. */
    public val unsentBytes: Long
        get() {
            val buffer = channel.unsafe().outboundBuffer() ?: return 0
            // The total counts a partly sent part in full.
            return buffer.totalPendingWriteBytes() - buffer.currentProgress()
        }

    /** Whether all written data was passed to the operating system; false after a failed write. */
    public val isFlushed: Boolean
        get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() == 0L

    private var isInputEnded = false

    /**
     * Whether this side closes the connection. The decoder then ends a response without length as
     * if the peer had closed the connection, so what it emits from here on is not the peer's.
     */
    private var isClosing = false

    /**
     * Waits for the next part and returns it, or null if the connection is closed. The calling code
     * must release the part.
     */
    public suspend fun receive(): HttpObject? {
        while (received.isEmpty()) {
            if (isClosed || isInputEnded) return null
            awaitEvent()
        }
        val part = received.removeFirst()
        if (received.size < READ_AHEAD && !channel.config().isAutoRead && !isClosed) {
            channel.config().isAutoRead = true
        }
        return part
    }

    /** Makes [receive] return null as soon as it would have to wait. */
    public fun endInput() {
        isInputEnded = true
        resumeReceiver()
    }

    /** Reads and drops all further bytes from the peer, and the parts not yet received. */
    public fun discardInput() {
        while (received.isNotEmpty()) ReferenceCountUtil.release(received.removeFirst())
        if (isClosed) return
        channel.pipeline().addFirst(InputDiscarder)
        channel.config().isAutoRead = true
    }

    /** Tells the peer that no further bytes follow; the connection stays open for input. */
    public fun shutDownOutput() {
        (channel as DuplexChannel).shutdownOutput().addListener {
            if (!it.isSuccess) channel.close()
        }
    }

    /** Waits until the connection is closed. */
    public suspend fun awaitClosed() {
        while (!isClosed) awaitEvent()
    }

    /**
     * Queues a part for [flush]. If the part cannot be encoded or sent, the connection is reset,
     * because a message with a part missing must not go on.
     */
    public fun write(part: Any) {
        if (part is HttpRequest) decoder?.expectResponse(part.method())
        channel.write(part).addListener { if (!it.isSuccess) onWriteFailed(it.cause()) }
    }

    private fun onWriteFailed(cause: Throwable) {
        if (isClosing || isClosed) return
        // The system reports these; the peer may have answered before it closed the connection.
        if (cause is IOException) {
            if (isReset(cause)) failure = failure ?: cause
            return
        }
        failure = failure ?: cause
        recordEvent("write_failed", "error" to cause)
        reset()
    }

    /**
     * Marks the connection as waiting for its next request. It closes as soon as the peer sends a
     * byte, which would belong to no request.
     */
    public fun keepIdle() {
        decoder?.isIdle = true
    }

    /**
     * Sends the written parts and suspends while the peer does not read. Returns false if the
     * connection is closed. Resets it if the peer takes no byte for [STALL_MILLIS], because what
     * waits for such a peer holds memory that others need.
     */
    public suspend fun flush(): Boolean {
        channel.flush()
        while (!isClosing && !isClosed && !channel.isWritable) {
            val unsent = unsentBytes
            val isInTime = withTimeoutOrNull(STALL_MILLIS) { awaitWritable() } != null
            if (!isInTime && !isClosed && unsentBytes == unsent) {
                recordEvent("stalled", "unsent_bytes" to unsent)
                reset()
                return false
            }
        }
        return !isClosing && !isClosed
    }

    private suspend fun awaitWritable() {
        suspendCancellableCoroutine { c ->
            writers += c
            c.invokeOnCancellation { writers -= c }
        }
    }

    /** Sends the written parts without waiting for the peer. */
    public fun flushNow() {
        channel.flush()
    }

    /** Closes the connection; parts not yet received are dropped. */
    public fun close() {
        isClosing = true
        channel.close()
        while (received.isNotEmpty()) ReferenceCountUtil.release(received.removeFirst())
    }

    /**
     * Closes the connection with a TCP reset. After a normal close the operating system still
     * delivers the bytes that were written, and a server that gets them late runs a request that
     * nobody waits for.
     */
    public fun reset() {
        channel.resetOnClose(log)
        close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg !is HttpObject || isClosing || isClosed) {
            ReferenceCountUtil.release(msg)
            return
        }
        received.addLast(msg)
        if (received.size >= READ_AHEAD) channel.config().isAutoRead = false
        resumeReceiver()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosed = true
        resumeReceiver()
        resumeWriters()
        val listener = onClosed
        onClosed = null
        listener?.invoke()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable) resumeWriters()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        failure = failure ?: cause
        // Resets are normal; other exceptions mean invalid data from the peer or a bug.
        if (cause !is IOException) {
            recordEvent("failed", "error" to cause, "at" to cause.stackTrace.firstOrNull())
        }
        isClosing = true
        ctx.close()
    }

    /** Waits for a part, the end of the input or the close of the connection. */
    private suspend fun awaitEvent() = suspendCancellableCoroutine { c ->
        receiver = c
        c.invokeOnCancellation { if (receiver === c) receiver = null }
    }

    /** A line written by this thread could block it while the output is not read. */
    private fun recordEvent(event: String, vararg fields: Pair<String, Any?>) =
        log.record("connection", event, "peer" to channel.remoteAddress(), *fields)

    private fun resumeReceiver() {
        val c = receiver ?: return
        receiver = null
        c.resume(Unit)
    }

    private fun resumeWriters() {
        val waiting = writers.toList()
        writers.clear()
        waiting.forEach { it.resume(Unit) }
    }

    /** Releases all bytes before they reach the HTTP decoder. */
    @Sharable
    private object InputDiscarder : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            ReferenceCountUtil.release(msg)
        }
    }

    public companion object {
        /**
         * Maximum number of parts that are read ahead. With chunks of up to 8 KiB, a connection
         * with a slow receiver holds at most 256 KiB.
         */
        public const val READ_AHEAD: Int = 32

        /** A peer that takes no byte for this long, in ms, does not read any more. */
        public const val STALL_MILLIS: Long = 10_000
    }
}
