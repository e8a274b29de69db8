package io.greengageport.gateway.forward

import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestId
import io.greengageport.common.SystemClock
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.engineProfile
import io.greengageport.gateway.http.ConnectionPool
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.http.OutgoingRequest
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.BackendReport
import io.greengageport.gateway.port.CallerHeaders
import io.greengageport.gateway.port.Dispatch
import io.greengageport.gateway.port.ResponseHeaders
import io.greengageport.gateway.route
import io.greengageport.gateway.server
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isTrue

/**
 * Guards against a response that never advances and never counts as silent, because its server
 * sends without end and some parts always wait while the caller reads slowly.
 */
class EndlessPartsTest {
    private val loop = EventLoop()
    private val stage = server("first", MODEL, layers = LayerRange(0, 80))

    private val policy = object : SilencePolicy {
        override suspend fun examine() = Unit

        override suspend fun awaitReplacement() = true

        override fun onAdvance() = Unit
    }

    /** Takes parts slowly, none of which advances the response. */
    private val reader = object : ResponseReader {
        override fun onHead(status: Int, headers: HttpHeaders, responseHeaders: ResponseHeaders) =
            PartResult.Progress(timeoutMillis = 200)

        override suspend fun onPart(part: ByteBuf): PartResult {
            delay(5)
            return PartResult.NoProgress
        }
    }

    private fun context() = RequestContext(
        id = RequestId("r"),
        head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a/"),
        body = ByteArray(0),
        caller = CallerHeaders("r", 20_000, null, 770, 170, null),
        route = route(service = MODEL, isStreaming = true),
        service = Service(MODEL, "/health", 100, engineProfile()),
        organisation = null,
        arrivedAtMillis = SystemClock.monotonicMillis()
    )

    /** Sends a response without end on the next connection, until that is closed. */
    private fun sendWithoutEnd(server: ServerSocket) = thread(isDaemon = true) {
        server.accept().use {
            val output = it.getOutputStream()
            try {
                output.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray())
                while (true) output.write("1000\r\n${"\n".repeat(4_096)}\r\n".toByteArray())
            } catch (e: IOException) {
                println("the gateway closed the connection: $e")
            }
        }
    }

    @Test
    fun `An attempt whose parts do not advance the response is given up`() {
        val end = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            sendWithoutEnd(server)
            val target = stage.copy(address = HostPort("127.0.0.1", server.localPort))
            val pool = ConnectionPool(HttpConnector(loop), SystemClock)
            val exchange = BackendExchange(pool, EndlessProtocol, SystemClock)
            runBlocking {
                withContext(loop.dispatcher) {
                    withTimeoutOrNull(5_000) {
                        exchange.run(
                            context(),
                            Dispatch(target, 20_000, null),
                            headTimeoutMillis = 2_000,
                            memory = ResponseMemory(1).Reservation(),
                            silencePolicy = policy,
                            reader = reader
                        )
                    }
                }
            }
        }
        loop.close()
        expectThat(end).isA<AttemptEnd.Broken>().get { isSilent }.isTrue()
    }

    private object EndlessProtocol : BackendProtocol {
        override fun requestHeaders(original: HttpHeaders, dispatch: Dispatch): HttpHeaders =
            DefaultHttpHeaders()

        override fun parseCallerHeaders(request: HttpRequest): CallerHeaders = unexpected()

        override fun parseResponse(response: HttpResponse) = ResponseHeaders(
            attemptId = "r",
            isNotRun = false,
            hasDigest = true,
            failedStage = null,
            load = null,
            keepAliveMillis = null
        )

        override fun reportRequest(): OutgoingRequest = unexpected()

        override fun parseReport(reply: HttpReply): BackendReport = unexpected()

        override fun placementOrder(
            layers: LayerRange,
            fencingToken: Long,
            expectedOrders: Long
        ): OutgoingRequest = unexpected()

        private fun unexpected(): Nothing = error("not called")
    }
}
