package io.greengageport.gateway.http

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.IoEventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.tinylog.kotlin.Logger

/**
 * The one thread on which an instance serves its sockets and runs its decisions.
 *
 * Entry instances have less than one core each, so a second thread would only add switches. State
 * that is touched on this thread alone needs no locks. Blocking calls don't belong here.
 */
public class EventLoop : AutoCloseable {
    internal val group: IoEventLoopGroup =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    private val executor = group.next()

    /** Runs coroutines on the loop's thread; timers of coroutines are timers of the loop. */
    public val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    /** The scope of everything that runs until the instance ends. */
    public val scope: CoroutineScope = CoroutineScope(
        dispatcher + SupervisorJob() + CoroutineExceptionHandler { _, e ->
            Logger.error(e, "gateway: a task ended by an unexpected error")
        }
    )

    override fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    internal companion object {
        private const val PAGE_BYTES = 8_192

        /** Chunks of 8 KiB shifted by this: 128 KiB, as instances have some 300 MB in all. */
        private const val CHUNK_ORDER = 4

        /** One arena, as there is one thread. */
        val allocator: ByteBufAllocator =
            PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER)
    }
}
