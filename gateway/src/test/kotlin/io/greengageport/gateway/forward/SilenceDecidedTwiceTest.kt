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
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/**
 * Guards against a stream that is replaced twice: the decision to replace it can report the lost
 * stage to all attempts, this one included, which decided again.
 */
class SilenceDecidedTwiceTest {
    private val loop = EventLoop()
    private val notifier = ChainFailureNotifier()
    private val stage = server("first", MODEL, layers = LayerRange(0, 80))
    private var decisions = 0

    private val policy = object : SilencePolicy {
        override suspend fun examine() = Unit

        override suspend fun awaitReplacement(): Boolean {
            decisions++
            notifier.notifyUnreachable(stage.id)
            return true
        }

        override fun onAdvance() = Unit
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

    @Test
    fun `An attempt that is given up does not decide again on a lost stage`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { silent ->
            val target = stage.copy(address = HostPort("127.0.0.1", silent.localPort))
            val pool = ConnectionPool(HttpConnector(loop), SystemClock)
            val exchange = BackendExchange(pool, NoResponseProtocol, SystemClock, notifier)
            runBlocking {
                withContext(loop.dispatcher) {
                    exchange.run(
                        context(),
                        Dispatch(target, 20_000, null),
                        headTimeoutMillis = 100,
                        memory = ResponseMemory(1).Reservation(),
                        silencePolicy = policy,
                        members = listOf(stage.id)
                    )
                }
            }
        }
        loop.close()
        expectThat(decisions).isEqualTo(1)
    }

    /**
     * Guards against a complete stream whose end the caller does not get: the attempt waited for a
     * decision about its silence that began after its end.
     */
    @Test
    fun `A stage that is lost when an attempt ends does not keep the attempt`() {
        val ending = object : SilencePolicy by policy {
            override suspend fun examine() = try {
                awaitCancellation()
            } finally {
                notifier.notifyUnreachable(stage.id)
            }
        }
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { closing ->
            val target = stage.copy(address = HostPort("127.0.0.1", closing.localPort))
            val pool = ConnectionPool(HttpConnector(loop), SystemClock)
            val exchange = BackendExchange(pool, NoResponseProtocol, SystemClock, notifier)
            thread(isDaemon = true) {
                closing.accept().use { TimeUnit.MILLISECONDS.sleep(300) }
            }
            val end = runBlocking {
                withContext(loop.dispatcher) {
                    withTimeoutOrNull(3_000) {
                        exchange.run(
                            context(),
                            Dispatch(target, 20_000, null),
                            headTimeoutMillis = 100,
                            memory = ResponseMemory(1).Reservation(),
                            silencePolicy = ending,
                            members = listOf(stage.id)
                        )
                    }
                }
            }
            expectThat(end).isA<AttemptEnd.Broken>()
        }
        loop.close()
    }

    private object NoResponseProtocol : BackendProtocol {
        override fun requestHeaders(original: HttpHeaders, dispatch: Dispatch): HttpHeaders =
            DefaultHttpHeaders()

        override fun parseCallerHeaders(request: HttpRequest): CallerHeaders = unexpected()

        override fun parseResponse(response: HttpResponse): ResponseHeaders = unexpected()

        override fun reportRequest(): OutgoingRequest = unexpected()

        override fun parseReport(reply: HttpReply): BackendReport = unexpected()

        override fun placementOrder(
            layers: LayerRange,
            fencingToken: Long,
            expectedOrders: Long
        ): OutgoingRequest = unexpected()

        private fun unexpected(): Nothing = error("the server does not respond")
    }
}
