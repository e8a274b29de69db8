package io.greengageport.membership

import io.greengageport.common.InstanceId
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

/** Counters shared by the connections of a node. */
internal class Traffic {
    val sentFrames = LongAdder()
    val sentBytes = LongAdder()
    val receivedFrames = LongAdder()
    val receivedBytes = LongAdder()
    val opened = LongAdder()
    val replaced = LongAdder()
    val badFrames = LongAdder()
    val refused = LongAdder()

    fun sent(bytes: Int) {
        sentFrames.increment()
        sentBytes.add(bytes.toLong())
    }

    fun received(bytes: Int) {
        receivedFrames.increment()
        receivedBytes.add(bytes.toLong())
    }
}

/** Receives what arrives on connections. */
internal interface ConnectionHandler {
    fun onFrame(connection: Connection, frame: Frame)

    fun onClosed(connection: Connection, error: ConnectionError?)
}

/**
 * An authenticated connection to [peer] with its writer and reader.
 *
 * Requests of many callers share it; responses find their request by correlation id. The queue of
 * outgoing frames is bounded, so that a silent connection cannot hold much memory.
 */
internal class Connection(
    val peer: InstanceId,
    val isDialled: Boolean,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val traffic: Traffic,
    private val handler: ConnectionHandler,
    openedAt: Long
) {
    private val outgoing = Channel<ByteArray>(MAX_QUEUED_FRAMES)
    private val queuedBytes = AtomicLong()
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<Frame>>()
    private val correlation = AtomicLong()
    private val isClosed = AtomicBoolean()

    /** Requests of the peer that are being handled here. */
    val handling = AtomicInteger()

    @Volatile
    var lastUse: Long = openedAt

    @Volatile
    private var lastReceived: Long = openedAt
    private var pingedAt: Long? = null
    private var checkedAt: Long = openedAt

    val isOpen: Boolean get() = !isClosed.get()

    val isBusy: Boolean get() = pending.isNotEmpty() || handling.get() > 0

    fun run(scope: CoroutineScope) {
        scope.launch { guard { writeFrames() } }
        scope.launch { guard { readFrames() } }
    }

    /** Queues [frame]; false if the connection is closed or its queue is full. */
    fun offer(frame: Frame, now: Long): Boolean {
        val bytes = FrameCodec.encode(Frame.serializer(), frame)
        lastUse = now
        if (queuedBytes.addAndGet(bytes.size.toLong()) > MAX_QUEUED_BYTES ||
            !outgoing.trySend(bytes).isSuccess
        ) {
            queuedBytes.addAndGet(-bytes.size.toLong())
            return false
        }
        return true
    }

    /**
     * Sends a request. Null if it could not be sent; the deferred ends exceptionally if the
     * connection closes before the response.
     */
    fun request(channel: String, body: ByteArray, now: Long): PendingRequest? {
        val number = correlation.incrementAndGet()
        val response = CompletableDeferred<Frame>()
        pending[number] = response
        val isSent = offer(Frame(FrameKind.REQUEST.ordinal, number, channel, body), now)
        if (!isSent) pending.remove(number)
        if (!isOpen) failPending()
        return if (isSent) PendingRequest(response) { pending.remove(number) } else null
    }

    /** Completes the request that [frame] answers; a late response is dropped. */
    fun complete(frame: Frame) {
        pending.remove(frame.correlation)?.complete(frame)
    }

    /** Notes that a frame arrived. */
    fun received(now: Long) {
        lastUse = now
        lastReceived = now
    }

    fun answerPing(now: Long) {
        offer(Frame(FrameKind.PONG.ordinal, 0, "", ByteArray(0)), now)
    }

    /**
     * True if requests wait, nothing arrived for [limit] milliseconds, and a ping had no answer for
     * as long again. Called periodically by one coroutine; a pause of this process counts as no
     * silence of the peer.
     */
    fun isSilent(now: Long, limit: Long): Boolean {
        val wasPaused = now - checkedAt > limit
        checkedAt = now
        val pinged = pingedAt
        if (pending.isEmpty() || now - lastReceived <= limit || wasPaused) {
            pingedAt = null
            return false
        }
        if (pinged == null) {
            pingedAt = now
            offer(Frame(FrameKind.PING.ordinal, 0, "", ByteArray(0)), now)
            return false
        }
        return now - pinged > limit
    }

    fun close(error: ConnectionError? = null) {
        if (!isClosed.compareAndSet(false, true)) return
        outgoing.close()
        socket.close()
        failPending()
        handler.onClosed(this, error)
    }

    private fun failPending() = pending.keys.toList().forEach {
        pending.remove(it)?.completeExceptionally(ConnectionException(LOST))
    }

    private suspend fun writeFrames() {
        for (bytes in outgoing) {
            FrameCodec.write(output, bytes)
            queuedBytes.addAndGet(-bytes.size.toLong())
            traffic.sent(bytes.size)
        }
    }

    private suspend fun readFrames() {
        while (isOpen) {
            val bytes = FrameCodec.read(input, FrameCodec.MAX_FRAME_BYTES)
            traffic.received(bytes.size + FrameCodec.LENGTH_BYTES)
            handler.onFrame(this, FrameCodec.decode(Frame.serializer(), bytes))
        }
    }

    private suspend fun guard(work: suspend () -> Unit) {
        try {
            work()
            close()
        } catch (e: ConnectionException) {
            close(e.error)
        } catch (e: CancellationException) {
            close()
            throw e
        } catch (e: Exception) {
            close(ConnectionError.Refused(e.message ?: e.javaClass.simpleName))
        }
    }

    companion object {
        private const val MAX_QUEUED_FRAMES = 256
        private const val MAX_QUEUED_BYTES = 4L * FrameCodec.MAX_FRAME_BYTES
        private val LOST = ConnectionError.Refused("connection closed")
    }
}

/** A request that was sent; [forget] gives up waiting for its response. */
internal class PendingRequest(val response: CompletableDeferred<Frame>, val forget: () -> Unit)
