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

/** Traffic counters shared by all connections of a node. */
internal class TrafficCounters {
    val sentFrames = LongAdder()
    val sentBytes = LongAdder()
    val receivedFrames = LongAdder()
    val receivedBytes = LongAdder()
    val openedConnections = LongAdder()
    val replacedConnections = LongAdder()
    val badFrames = LongAdder()
    val refusedConnections = LongAdder()

    fun recordSent(bytes: Int) {
        sentFrames.increment()
        sentBytes.add(bytes.toLong())
    }

    fun recordReceived(bytes: Int) {
        receivedFrames.increment()
        receivedBytes.add(bytes.toLong())
    }
}

/** Handles the frames received on connections and the closing of connections. */
internal interface ConnectionHandler {
    fun onFrame(connection: Connection, frame: Frame)

    fun onClosed(connection: Connection, error: ConnectionError?)
}

/**
 * An authenticated connection to [peer] with one coroutine that writes and one that reads.
 *
 * It multiplexes concurrent requests; a response is matched to its request by the correlation id.
 * The queue of outgoing frames is bounded in frames and bytes to limit the memory that a silent
 * connection can hold. All times are monotonic milliseconds.
 */
internal class Connection(
    val peer: InstanceId,
    val isDialled: Boolean,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val traffic: TrafficCounters,
    private val handler: ConnectionHandler,
    openedAtMillis: Long
) {
    private val outgoing = Channel<ByteArray>(MAX_QUEUED_FRAMES)
    private val queuedBytes = AtomicLong()
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<Frame>>()
    private val lastCorrelation = AtomicLong()
    private val isClosed = AtomicBoolean()

    /** Number of requests from the peer whose handlers are running. */
    val activeRequests = AtomicInteger()

    @Volatile
    var lastUsedMillis: Long = openedAtMillis

    @Volatile
    private var lastReceivedMillis: Long = openedAtMillis
    private var pingedAtMillis: Long? = null
    private var checkedAtMillis: Long = openedAtMillis

    val isOpen: Boolean get() = !isClosed.get()

    /** True while a request in either direction is unanswered. */
    val isBusy: Boolean get() = pending.isNotEmpty() || activeRequests.get() > 0

    /** Starts the reader and the writer; the connection closes when either ends. */
    fun start(scope: CoroutineScope) {
        scope.launch { runThenClose { writeFrames() } }
        scope.launch { runThenClose { readFrames() } }
    }

    /** Queues [frame]; returns false if the connection is closed or the queue is full. */
    fun offer(frame: Frame, now: Long): Boolean {
        val bytes = FrameCodec.encode(Frame.serializer(), frame)
        lastUsedMillis = now
        if (queuedBytes.addAndGet(bytes.size.toLong()) > MAX_QUEUED_BYTES ||
            !outgoing.trySend(bytes).isSuccess
        ) {
            queuedBytes.addAndGet(-bytes.size.toLong())
            return false
        }
        return true
    }

    /**
     * Queues a request. Returns null if it could not be queued. The response completes
     * exceptionally with a [ConnectionException] if the connection closes before it arrives.
     */
    fun request(channel: String, body: ByteArray, now: Long): PendingRequest? {
        val correlation = lastCorrelation.incrementAndGet()
        val response = CompletableDeferred<Frame>()
        pending[correlation] = response
        val isSent = offer(Frame(FrameKind.REQUEST.ordinal, correlation, channel, body), now)
        if (!isSent) pending.remove(correlation)
        if (!isOpen) failPending()
        return if (isSent) PendingRequest(response) { pending.remove(correlation) } else null
    }

    /** Completes the pending request of the response [frame]; drops a response without one. */
    fun complete(frame: Frame) {
        pending.remove(frame.correlation)?.complete(frame)
    }

    /** Records that a frame arrived, which resets the idle and silence periods. */
    fun markReceived(now: Long) {
        lastUsedMillis = now
        lastReceivedMillis = now
    }

    fun sendPong(now: Long) {
        offer(Frame(FrameKind.PONG.ordinal, 0, "", ByteArray(0)), now)
    }

    /**
     * Pings the peer if requests are pending and nothing arrived for [limitMillis]; returns true if
     * nothing arrived for another [limitMillis] after the ping.
     *
     * Must be called periodically from a single coroutine. A gap of more than [limitMillis] between
     * two calls is treated as a pause of this process, not as silence of the peer.
     */
    fun detectSilence(now: Long, limitMillis: Long): Boolean {
        val wasPaused = now - checkedAtMillis > limitMillis
        checkedAtMillis = now
        val pingSentAtMillis = pingedAtMillis
        if (pending.isEmpty() || now - lastReceivedMillis <= limitMillis || wasPaused) {
            pingedAtMillis = null
            return false
        }
        if (pingSentAtMillis == null) {
            pingedAtMillis = now
            offer(Frame(FrameKind.PING.ordinal, 0, "", ByteArray(0)), now)
            return false
        }
        return now - pingSentAtMillis > limitMillis
    }

    /** Closes the socket, fails the pending requests and reports [error] to the handler. */
    fun close(error: ConnectionError? = null) {
        if (!isClosed.compareAndSet(false, true)) return
        outgoing.close()
        socket.close()
        failPending()
        handler.onClosed(this, error)
    }

    private fun failPending() = pending.keys.toList().forEach {
        pending.remove(it)?.completeExceptionally(ConnectionException(CLOSED))
    }

    private suspend fun writeFrames() {
        for (bytes in outgoing) {
            FrameCodec.write(output, bytes)
            queuedBytes.addAndGet(-bytes.size.toLong())
            traffic.recordSent(bytes.size)
        }
    }

    private suspend fun readFrames() {
        while (isOpen) {
            val bytes = FrameCodec.read(input, FrameCodec.MAX_FRAME_BYTES)
            traffic.recordReceived(bytes.size + FrameCodec.LENGTH_BYTES)
            handler.onFrame(this, FrameCodec.decode(Frame.serializer(), bytes))
        }
    }

    /** Runs [work] and closes the connection when it ends or fails. */
    private suspend fun runThenClose(work: suspend () -> Unit) {
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
        private val CLOSED = ConnectionError.Refused("connection closed")
    }
}

/** A queued request; [abandon] removes it, so that a later response is dropped. */
internal class PendingRequest(val response: CompletableDeferred<Frame>, val abandon: () -> Unit)
