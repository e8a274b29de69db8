package io.greengageport.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.tinylog.kotlin.Logger

/**
 * An HTTP/1.1 connection as coroutines use it: parts of messages are received and written one by
 * one, with back-pressure both ways.
 *
 * It reads ahead by at most [READ_AHEAD] parts, which is what shows that the peer has closed while
 * nobody receives. Used on the event loop's thread only.
 */
public class HttpChannel(private val channel: Channel) : ChannelInboundHandlerAdapter() {
    private val received = ArrayDeque<HttpObject>()
    private var receiver: CancellableContinuation<Unit>? = null
    private var writer: CancellableContinuation<Unit>? = null

    /** Whether the connection has ended; parts received before can still be taken. */
    public var isClosed: Boolean = false
        private set

    /** Why the connection ended, if it was not closed in order. */
    public var failure: Throwable? = null
        private set

    /** Called once when the connection ends. */
    public var onClosed: (() -> Unit)? = null

    /** Called when a part arrives; an idle connection to a backend server expects none. */
    public var onReceived: (() -> Unit)? = null

    /** Whether parts wait to be received. */
    public val hasReceived: Boolean get() = received.isNotEmpty()

    /** Whether all that was written has been handed to the operating system. */
    public val isFlushed: Boolean
        get() = (channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L) == 0L

    /** The next part, or null at the end of the connection; the caller releases it. */
    public suspend fun receive(): HttpObject? {
        while (received.isEmpty()) {
            if (isClosed) return null
            suspendCancellableCoroutine { c ->
                receiver = c
                c.invokeOnCancellation { if (receiver === c) receiver = null }
            }
        }
        val part = received.removeFirst()
        if (received.size < READ_AHEAD && !channel.config().isAutoRead && !isClosed) {
            channel.config().isAutoRead = true
        }
        return part
    }

    /** Queues a part for [flush]. */
    public fun write(part: Any): ChannelFuture = channel.write(part)

    /** Sends what was written; waits while the peer does not read. False if it is gone. */
    public suspend fun flush(): Boolean {
        channel.flush()
        while (!isClosed && !channel.isWritable) {
            suspendCancellableCoroutine { c ->
                writer = c
                c.invokeOnCancellation { if (writer === c) writer = null }
            }
        }
        return !isClosed
    }

    /** Sends what was written without waiting for the peer. */
    public fun flushNow() {
        channel.flush()
    }

    /** Closes the connection; parts not yet received are dropped. */
    public fun close() {
        channel.close()
        while (received.isNotEmpty()) ReferenceCountUtil.release(received.removeFirst())
    }

    /** Closes the connection once all that was written is sent. */
    public fun closeWhenFlushed() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
            .addListener { channel.close() }
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg !is HttpObject || isClosed) {
            ReferenceCountUtil.release(msg)
            return
        }
        received.addLast(msg)
        if (received.size >= READ_AHEAD) channel.config().isAutoRead = false
        onReceived?.invoke()
        wakeReceiver()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosed = true
        wakeReceiver()
        wakeWriter()
        val action = onClosed
        onClosed = null
        action?.invoke()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable) wakeWriter()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        failure = failure ?: cause
        // Resets are usual; anything else is a fault of the peer's bytes or of this program.
        if (cause !is IOException) {
            Logger.warn(cause, "gateway: connection ${channel.remoteAddress()}")
        }
        ctx.close()
    }

    private fun wakeReceiver() {
        val c = receiver ?: return
        receiver = null
        c.resume(Unit)
    }

    private fun wakeWriter() {
        val c = writer ?: return
        writer = null
        c.resume(Unit)
    }

    public companion object {
        /** Parts; with chunks of at most 8 KiB, a slow reader holds 256 KiB at most. */
        public const val READ_AHEAD: Int = 32
    }
}
