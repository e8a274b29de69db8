package io.greengageport.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.PeerError
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class PeerNodeTest {
    private val background = CoroutineScope(Dispatchers.Default)

    private fun onCluster(test: suspend SocketCluster.() -> Unit) =
        runBlocking { SocketCluster().use { it.test() } }

    private suspend fun PeerNode.echo(peer: String, text: String): Result<String, PeerError> =
        call(InstanceId(peer), "echo", text.encodeToByteArray(), 30.seconds)
            .map { it.decodeToString() }

    private fun PeerNode.answerEcho() = handle("echo") { from, payload ->
        "$from:".encodeToByteArray() +
            payload
    }

    @Nested
    inner class Calls {
        /** Guards against responses that reach the wrong caller when they arrive out of order. */
        @Test
        fun `each of many concurrent calls gets its own reply`() = onCluster {
            val (a, b) = startAll("a", "b")
            b.handle("slow") { _, payload -> payload.also { delay((100L - it[0]).milliseconds) } }
            val replies = (0 until 100).map { number ->
                background.async {
                    a.call(InstanceId("b"), "slow", byteArrayOf(number.toByte()), 30.seconds)
                        .map { it.single().toInt() }
                }
            }.awaitAll()
            expectThat(replies).isEqualTo((0 until 100).map { Ok(it) })
        }

        /** Guards against callers that cannot tell whether the peer may have handled the call. */
        @Test
        fun `a failed call returns the error type of its cause`() = onCluster {
            val (a, b) = startAll("a", "b")
            val peer = InstanceId("b")
            val never = CompletableDeferred<ByteArray>()
            b.handle("broken") { _, _ -> error("no") }
            b.handle("stuck") { _, _ -> never.await() }
            expectThat(
                listOf(
                    a.call(InstanceId("c"), "x", ByteArray(0), 30.seconds),
                    a.call(peer, "x", ByteArray(0), 30.seconds),
                    a.call(peer, "broken", ByteArray(0), 30.seconds),
                    a.call(peer, "stuck", ByteArray(0), 200.milliseconds)
                )
            ).containsExactly(
                Err(PeerError.Unreachable(InstanceId("c"))),
                Err(PeerError.Failed(peer, "no handler for channel x")),
                Err(PeerError.Failed(peer, "handler failed: IllegalStateException")),
                Err(PeerError.TimedOut(peer))
            )
        }

        /** Guards against frame and queue limits below the documented size of payloads. */
        @Test
        fun `a payload of the maximum size is delivered`() = onCluster {
            val (a, b) = startAll("a", "b")
            b.handle("size") { _, payload -> payload }
            val payload = ByteArray(FrameCodec.MAX_PAYLOAD_BYTES) { it.toByte() }
            val reply = a.call(InstanceId("b"), "size", payload, 30.seconds)
            expectThat(reply.map { it.contentEquals(payload) }).isEqualTo(Ok(true))
        }
    }

    @Nested
    inner class Lifecycle {
        /** Guards against a stopped node that cancels the coroutine of its caller. */
        @Test
        fun `a call through a stopped node fails as unreachable`() = onCluster {
            val (a, _) = startAll("a", "b")
            a.stop()
            expectThat(a.echo("b", "x")).isEqualTo(Err(PeerError.Unreachable(InstanceId("b"))))
        }

        /** Guards against exceptions from a start that fails, and against a second start. */
        @Test
        fun `starting twice or on a used port fails with a typed error`() = onCluster {
            val (a, address) = start("a")
            val port = address.substringAfter(':').toInt()
            val settings = PeerSettings(InstanceId("b"), DataCentre("d"), "127.0.0.1", port)
            val b = PeerNode(settings, SocketCluster.SECRET)
            val errors = listOf(a.start(), b.start()).map { it.getError()?.javaClass?.simpleName }
            b.stop()
            expectThat(errors).isEqualTo(listOf("AlreadyStarted", "CannotListen"))
        }
    }

    @Nested
    inner class Items {
        /**
         * Guards against listeners that get an older version after a newer one, and against
         * listeners that subscribe late and miss items.
         */
        @Test
        fun `reach all listeners in rising versions, and later subscribers`() = onCluster {
            val nodes = startAll("a", "b", "c")
            val received = nodes.map { node ->
                ConcurrentLinkedQueue<Pair<String, Long>>().also { list ->
                    node.subscribe("t") { key, version, _ -> list += key to version }
                }
            }
            nodes[0].publish("t", "k", 2, ByteArray(32))
            await { received.all { it.toList() == listOf("k" to 2L) } }
            nodes[1].publish("t", "k", 1, ByteArray(32))
            nodes[1].publish("t", "k", 3, ByteArray(32))
            await { received.all { it.toList() == listOf("k" to 2L, "k" to 3L) } }
            val lateListener = ConcurrentLinkedQueue<Pair<String, Long>>()
            nodes[2].subscribe("t") { key, version, _ -> lateListener += key to version }
            await { lateListener.toList() == listOf("k" to 3L) }
        }
    }

    @Nested
    inner class Failures {
        /** Guards against calls that wait for a peer which is gone. */
        @Test
        fun `a killed peer is removed`() = onCluster {
            val (a, b, c) = startAll("a", "b", "c")
            c.stop()
            await { a.names() == listOf("a", "b") && b.names() == listOf("a", "b") }
            expectThat(a.echo("c", "x")).isEqualTo(Err(PeerError.Unreachable(InstanceId("c"))))
        }

        /** Guards against a peer that stays removed after a long pause. */
        @Test
        fun `a paused peer is removed and returns when it resumes`() = onCluster {
            val executor = Executors.newSingleThreadExecutor()
            val (a, address) = start("a")
            val (b, _) = start("b", listOf(address), dispatcher = executor.asCoroutineDispatcher())
            await { a.names() == listOf("a", "b") && b.names() == listOf("a", "b") }
            val latch = CountDownLatch(1)
            executor.execute { latch.await() }
            await { a.names() == listOf("a") }
            latch.countDown()
            await { a.names() == listOf("a", "b") && b.names() == listOf("a", "b") }
            b.stop()
            executor.shutdown()
        }

        /** Guards against connections that stay in use although they deliver no more data. */
        @Test
        fun `a silent connection is replaced and calls work again`() = onCluster {
            TcpProxy().start().use { proxy ->
                val (b, _) = start("b", advertisedPort = proxy.port)
                proxy.target = checkNotNull(b.listenAddress)
                b.answerEcho()
                val (a, _) = start("a", listOf("127.0.0.1:${proxy.port}"))
                await { a.echo("b", "x") == Ok("a:x") }
                proxy.silenceOpenConnections()
                await { a.stats().replacedConnections + b.stats().replacedConnections > 0 }
                await { a.echo("b", "y") == Ok("a:y") }
                await { a.names() == listOf("a", "b") }
            }
        }

        /**
         * Guards against a request that waits for its whole timeout because the peer has already
         * replaced the silent connection. To reproduce this, the caller does not probe.
         */
        @Test
        fun `a call on a connection that goes silent fails early`() = onCluster {
            TcpProxy().start().use { proxy ->
                val (b, _) = start("b", advertisedPort = proxy.port)
                proxy.target = checkNotNull(b.listenAddress)
                val arrived = CompletableDeferred<Unit>()
                b.handle("stuck") { _, payload ->
                    arrived.complete(Unit)
                    payload.also { CompletableDeferred<Unit>().await() }
                }
                val timings = SocketCluster.TIMINGS.copy(probePeriod = 1.hours)
                val (a, _) = start("a", listOf("127.0.0.1:${proxy.port}"), timings = timings)
                await { a.names() == listOf("a", "b") }
                val peer = InstanceId("b")
                val call = background.async { a.call(peer, "stuck", ByteArray(1), 1.hours) }
                arrived.await()
                proxy.silenceOpenConnections()
                await { call.isCompleted }
                expectThat(call.await()).isEqualTo(Err(PeerError.TimedOut(peer)))
            }
        }

        /** Guards against calls to the address of an earlier start of the peer. */
        @Test
        fun `a restarted peer with the same id is reached at its new address`() = onCluster {
            val (a, address) = start("a")
            val (old, _) = start("b", listOf(address))
            await { a.names() == listOf("a", "b") }
            val oldAddress = a.live().last().peerAddress
            old.stop()
            val (new, _) = start("b", listOf(address))
            new.answerEcho()
            await { a.live().last().peerAddress != oldAddress && a.echo("b", "x") == Ok("a:x") }
        }

        /** Guards against a planned stop that the other instances do not see in advance. */
        @Test
        fun `a leaving peer is marked and then removed`() = onCluster {
            val (a, b) = startAll("a", "b")
            b.announceLeaving()
            await { a.live().map { it.isLeaving } == listOf(false, true) }
            b.leave()
            await { a.names() == listOf("a") }
        }
    }

    @Nested
    inner class Authentication {
        /**
         * Guards against members without the secret, and against a secret that can be read from the
         * network.
         */
        @Test
        fun `a peer with a wrong secret does not join and the secret is never sent`() = onCluster {
            TcpProxy().start().use { proxy ->
                val (a, address) = start("a")
                proxy.target = address
                val seeds = listOf("127.0.0.1:${proxy.port}")
                val (intruder, _) = start("x", seeds, secret = ByteArray(32) { 1 })
                await { proxy.forwardedBytes().size > 300 }
                val (b, _) = start("b", seeds)
                await { a.names() == listOf("a", "b") && b.names() == listOf("a", "b") }
                expectThat(intruder.names()).isEqualTo(listOf("x"))
                val secret = SocketCluster.SECRET.toString(Charsets.ISO_8859_1)
                val sent = proxy.forwardedBytes().toString(Charsets.ISO_8859_1)
                expectThat(sent.contains(secret)).isEqualTo(false)
            }
        }

        /** Guards against a bad frame that fails calls on other connections. */
        @Test
        fun `bad frames close only their own connection`() = onCluster {
            val (a, address) = start("a")
            val (b, _) = start("b", listOf(address))
            await { b.names() == listOf("a", "b") }
            val release = CompletableDeferred<Unit>()
            a.handle("wait") { _, payload -> payload.also { release.await() } }
            val call = background.async {
                b.call(InstanceId("a"), "wait", byteArrayOf(7), 60.seconds).map { it.toList() }
            }
            val badFrames = listOf(
                byteArrayOf(0, 0, 0, 3, 1, 2, 3),
                byteArrayOf(127, 0, 0, 0),
                byteArrayOf(-1, 0, 0, 0),
                FrameCodec.encode(Frame.serializer(), Frame(0, 0, "", byteArrayOf(1))),
                FrameCodec.encode(Frame.serializer(), Frame(0, 0, "", ByteArray(0)))
            )
            for (bytes in badFrames) {
                connect(address) { input, output ->
                    Handshake(InstanceId("z"), SocketCluster.SECRET).dial(input, output, null)
                    FrameCodec.write(output, bytes)
                    readUntilClosed(input)
                }
                connect(address) { input, output ->
                    FrameCodec.write(output, bytes)
                    readUntilClosed(input)
                }
            }
            release.complete(Unit)
            expectThat(call.await()).isEqualTo(Ok(listOf<Byte>(7)))
            await { a.stats().badFrames >= badFrames.size }
            expectThat(b.names()).isEqualTo(listOf("a", "b"))
        }

        /** Guards against peers of another version that misread the frames of each other. */
        @Test
        fun `another protocol version is refused`() = onCluster {
            val (a, address) = start("a")
            val hello = Hello(99, InstanceId("z"), ByteArray(16), ByteArray(0))
            connect(address) { input, output ->
                FrameCodec.write(output, FrameCodec.encode(Hello.serializer(), hello))
                val answer = FrameCodec.read(input, FrameCodec.MAX_HELLO_BYTES)
                expectThat(FrameCodec.decode(Hello.serializer(), answer).version)
                    .isEqualTo(Handshake.VERSION)
                readUntilClosed(input)
            }
            await { a.stats().refusedPeers > 0 }
            expectThat(a.stats().openedConnections).isEqualTo(0)
        }

        private suspend fun connect(
            address: String,
            work: suspend (ByteReadChannel, ByteWriteChannel) -> Unit
        ) = SelectorManager(Dispatchers.IO).use { selector ->
            val port = address.substringAfter(':').toInt()
            aSocket(selector).tcp().connect("127.0.0.1", port).use { socket ->
                work(socket.openReadChannel(), socket.openWriteChannel())
            }
        }

        /** Reads until the other side closes the connection. */
        private suspend fun readUntilClosed(input: ByteReadChannel) {
            val buffer = ByteArray(1_024)
            kotlin.runCatching { while (input.readAvailable(buffer) >= 0) Unit }
        }
    }
}
