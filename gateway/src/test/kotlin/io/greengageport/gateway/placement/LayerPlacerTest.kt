package io.greengageport.gateway.placement

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.sun.net.httpserver.HttpServer
import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.SystemClock
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.configuration
import io.greengageport.gateway.engineProfile
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.http.HttpReply
import io.greengageport.gateway.http.OutgoingRequest
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.BackendProtocol
import io.greengageport.gateway.port.BackendReport
import io.greengageport.gateway.port.CallerHeaders
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.port.Dispatch
import io.greengageport.gateway.port.DutyAssignment
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.gateway.port.ResponseHeaders
import io.greengageport.gateway.port.StoreEpoch
import io.greengageport.gateway.port.StoreError
import io.greengageport.gateway.server
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.DutyLease
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Guards against layers that are taken from sound engines because the network of the instance that
 * places them fails. An engine holds all layers, and a spare one is to replace it while it is
 * unreachable.
 */
class LayerPlacerTest {
    /** The paths of the requests that the spare engine received. */
    private val received = CopyOnWriteArrayList<String>()

    /** Called on the thread of the engine before it answers a request for its report. */
    @Volatile
    private var onReport: () -> Unit = {}

    @Volatile
    private var isCutOff = false

    @Volatile
    private var unreachable = setOf(RunnerId("lost"))

    private val engine = HttpServer.create(
        InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        0
    ).apply {
        createContext("/") { exchange ->
            received += exchange.requestURI.path
            val isReport = exchange.requestURI.path == REPORT
            if (isReport) onReport()
            exchange.sendResponseHeaders(if (isReport) 200 else 202, -1)
            exchange.close()
        }
        start()
    }

    private val loop = EventLoop()
    private val log = RecordedLog().log
    private val directory = BackendDirectory(SystemClock, log).apply {
        val lost = server("lost", MODEL, port = 1, layers = LayerRange(0, LAYERS))
        val spare = server("spare", MODEL, port = engine.address.port)
        onChanges(listOf(lost, spare).map { Change.Put(it.id.value, it) })
    }
    private val lease = DutyLease(
        group = object : DutyGroup {
            override suspend fun renew(lastGeneration: Long): Result<DutyAssignment, StoreError> =
                Ok(DutyAssignment(7, setOf(0), 60_000))

            override suspend fun leave(): Result<Unit, StoreError> = Ok(Unit)

            override suspend fun holders(): Result<Map<InstanceId, MemberAddress>, StoreError> =
                Ok(emptyMap())
        },
        epoch = StoreEpoch(),
        clock = SystemClock,
        log = log,
        onMembers = {}
    )
    private val placer = LayerPlacer(
        configuration = {
            val profile = engineProfile()
                .copy(layers = LAYERS, layerMegabytes = 100.0, tokenBytes = 80_000.0)
            configuration().copy(
                services = persistentMapOf(MODEL to Service(MODEL, "/health", 100, profile))
            )
        },
        directory = directory,
        dutyLease = lease,
        connector = HttpConnector(loop),
        protocol = EngineProtocol,
        findUnreachable = { unreachable },
        isCutOff = { isCutOff },
        log = log,
        clock = SystemClock
    )

    @AfterEach
    fun close() {
        engine.stop(0)
        loop.close()
    }

    /** Runs [test] beside the placer, which acquires the duty first. */
    private fun whilePlacing(test: suspend CoroutineScope.() -> Unit) = runBlocking {
        withContext(loop.dispatcher) {
            lease.renew()
            val placing = launch { placer.run() }
            delay(ROUNDS_MILLIS)
            test()
            placing.cancelAndJoin()
        }
    }

    private fun orders() = received.count { it == ORDER }

    /** Shows that the other tests would see an order. */
    @Test
    fun `a spare engine gets the layers of an unreachable one`() = whilePlacing {
        expectThat(orders()).isEqualTo(1)
    }

    @Test
    fun `no order is planned while the instance is cut off`() {
        isCutOff = true
        whilePlacing { expectThat(received).isEmpty() }
    }

    @Test
    fun `an order that was planned before the cut is not sent`() {
        onReport = { isCutOff = true }
        whilePlacing { expectThat(orders()).isEqualTo(0) }
    }

    /** Guards against layers that move although the server was reached again meanwhile. */
    @Test
    fun `an order that rests on a withdrawn observation is not sent`() {
        onReport = { unreachable = emptySet() }
        // The next plan orders the spare engine to add a replica.
        whilePlacing { expectThat(received.take(2)).isEqualTo(listOf(REPORT, REPORT)) }
    }

    /**
     * Guards against a plan that assumes orders of an earlier term, which the engine may not have
     * received. The cut is shorter than the interval of placement.
     */
    @Test
    fun `orders of before a cut are not assumed after it`() = whilePlacing {
        val reportsBefore = received.count { it == REPORT }
        lease.suspendDuties()
        lease.resumeDuties()
        lease.renew()
        delay(ROUNDS_MILLIS)
        expectThat(received.count { it == REPORT }).isGreaterThan(reportsBefore)
        expectThat(orders()).isEqualTo(2)
    }

    /** An engine without layers that has accepted no order. */
    private object EngineProtocol : BackendProtocol {
        override fun reportRequest() = OutgoingRequest(HttpMethod.GET, REPORT, DefaultHttpHeaders())

        override fun parseReport(reply: HttpReply) = BackendReport(
            startedAtMillis = 5,
            acceptedOrders = 0,
            isBusy = false,
            layers = null,
            activeRequests = 0,
            queuedRequests = 0,
            slowness = 1.0,
            stalledStages = emptyList()
        )

        override fun placementOrder(layers: LayerRange, fencingToken: Long, expectedOrders: Long) =
            OutgoingRequest(HttpMethod.POST, ORDER, DefaultHttpHeaders())

        override fun parseCallerHeaders(request: HttpRequest): CallerHeaders = error("not used")

        override fun requestHeaders(original: HttpHeaders, dispatch: Dispatch): HttpHeaders =
            error("not used")

        override fun parseResponse(response: HttpResponse): ResponseHeaders = error("not used")
    }

    private companion object {
        const val REPORT = "/report"
        const val ORDER = "/order"
        const val LAYERS = 2

        /** Longer than the takeover of the duty and two rounds of placement. */
        const val ROUNDS_MILLIS = 1_200L
    }
}
