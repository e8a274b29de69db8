package io.greengageport.gateway.http

import io.greengageport.gateway.logging.DecisionLog
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.IoEventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel

/**
 * The single thread on which an instance handles its sockets and runs its coroutines.
 *
 * Entry instances have less than one core each, so a second thread would only add context switches.
 * State that is accessed only on this thread needs no locks. The thread must not be blocked.
 */
public class EventLoop(
    /** Takes lines without blocking the thread. */
    public val log: DecisionLog = DecisionLog()
) : AutoCloseable {
    internal val group: IoEventLoopGroup = NioIoHandler.newFactory().let { nio ->
        MultiThreadIoEventLoopGroup(1) { LateThreadIoHandler(nio.newHandler(it)) }
    }

    private val executor = group.next()

    /** Runs coroutines and their timers on the thread of the loop. */
    public val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    /** The scope of all coroutines that run until the instance stops. */
    public val scope: CoroutineScope = CoroutineScope(
        dispatcher + SupervisorJob() + CoroutineExceptionHandler { _, e ->
            log.record(
                "entry",
                "coroutine_failed",
                "error" to e,
                "at" to e.stackTrace.take(LOGGED_FRAMES).joinToString(" < ")
            )
        }
    )

    override fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    internal companion object {
        private const val PAGE_BYTES = 8_192

        /** Enough to tell where an unexpected error comes from within one line of the log. */
        private const val LOGGED_FRAMES = 5

        /** Chunks of 8 KiB << 4 = 128 KiB, because instances have only some 300 MB of memory. */
        private const val CHUNK_ORDER = 4

        private const val MIN_READ_BYTES = 64
        private const val INITIAL_READ_BYTES = 2_048

        /**
         * Sizes of the reads of a connection. All parts of a read are decoded before the connection
         * can pause, and as objects small parts take many times their size.
         */
        val readAllocator: RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, PAGE_BYTES)

        /** Allocator with one direct arena, because there is one thread. */
        val allocator: ByteBufAllocator =
            PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER)
    }
}
