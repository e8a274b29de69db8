package io.greengageport.gateway.http

import io.netty.channel.IoHandle
import io.netty.channel.IoHandler
import io.netty.channel.IoHandlerContext
import io.netty.channel.IoRegistration

/**
 * Polls the sockets once more after the thread was late, so that the event loop handles what has
 * arrived before it runs the timers that have expired meanwhile.
 *
 * A process that is stopped and continued finds its wait for sockets interrupted: the wait ends
 * with the expired timers and reports no events. On a busy machine, bytes may also arrive while the
 * events of the poll before are handled. Without a second poll a timeout would fire although the
 * response is already in the socket.
 */
internal class LateThreadIoHandler(
    private val delegate: IoHandler,
    private val nanoTime: () -> Long = System::nanoTime
) : IoHandler {
    override fun run(context: IoHandlerContext): Int {
        val startNanos = nanoTime()
        // Without a timer the wait has no end, and nothing can expire.
        val hasTimer = !context.canBlock() || context.deadlineNanos() != NO_DEADLINE
        val waitNanos = if (context.canBlock()) context.delayNanos(startNanos) else 0
        val handled = delegate.run(context)
        val isLate = hasTimer && nanoTime() - startNanos - waitNanos > LATE_NANOS
        return if (isLate) handled + delegate.run(NonBlockingContext(context)) else handled
    }

    override fun initialize(): Unit = delegate.initialize()

    override fun prepareToDestroy(): Unit = delegate.prepareToDestroy()

    override fun destroy(): Unit = delegate.destroy()

    override fun register(handle: IoHandle): IoRegistration = delegate.register(handle)

    override fun wakeup(): Unit = delegate.wakeup()

    override fun isCompatible(handleType: Class<out IoHandle>): Boolean =
        delegate.isCompatible(handleType)

    private class NonBlockingContext(private val context: IoHandlerContext) : IoHandlerContext {
        override fun canBlock(): Boolean = false

        override fun delayNanos(currentTimeNanos: Long): Long = 0

        override fun deadlineNanos(): Long = context.deadlineNanos()

        override fun reportActiveIoTime(activeNanos: Long): Unit =
            context.reportActiveIoTime(activeNanos)

        override fun shouldReportActiveIoTime(): Boolean = context.shouldReportActiveIoTime()
    }

    private companion object {
        /** The value of Netty for a context without timers. */
        const val NO_DEADLINE = -1L

        /** Handling the events of one poll usually takes less than a few ms. */
        const val LATE_NANOS = 20_000_000L
    }
}
