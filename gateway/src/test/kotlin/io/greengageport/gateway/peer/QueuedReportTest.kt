package io.greengageport.gateway.peer

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.InstanceId
import io.greengageport.common.SystemClock
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.http.EventLoop
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.port.ChangeBatch
import io.greengageport.gateway.port.ChangeFeed
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.gateway.port.PlatformStore
import io.greengageport.gateway.port.StoreEpoch
import io.greengageport.gateway.port.StoreError
import io.greengageport.gateway.state.BackendDirectory
import io.greengageport.gateway.state.ConfigurationHolder
import io.greengageport.gateway.state.StoreFollower
import java.net.DatagramSocket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards the reports of a relay that wait because reports have used up their share of the link. */
class QueuedReportTest {
    private val loop = EventLoop()
    private val sockets = List(40) { DatagramSocket() }
    private val clock = SystemClock
    private val log = RecordedLog().log
    private val datagrams = AtomicInteger()
    private val relay = ServerListRelay(clock, { false }, 1_600, 2_800) { true }
    private val view = PeerView(InstanceId("a00"), DataCentre("a"), clock, log).apply {
        val members = sockets.drop(1).mapIndexed { i, s ->
            val centre = if (i < 19) "a" else "b"
            InstanceId("$centre${i + 1}") to
                MemberAddress(HostPort("127.0.0.1", s.localPort), DataCentre(centre))
        }
        onMembers(members.toMap())
    }
    private var loadSize = 200

    @AfterEach
    fun close() {
        loop.close()
        sockets.forEach { it.close() }
    }

    private fun load(size: Int) = List(size) { ServerLoad("i-0123456789-$it", 3, 900_000) }

    private fun report(from: String, sequence: Long, centres: List<DataCentreSummary>) = PeerReport(
        from = from,
        dataCentre = from.take(1),
        address = "127.0.0.1:${sockets[0].localPort}",
        startedAtMillis = 1,
        sequence = sequence,
        load = if (from == "a00") load(loadSize) else emptyList(),
        requestsByService = emptyMap(),
        retries = emptyMap(),
        unreachable = emptyList(),
        suspects = emptyList(),
        known = emptyList(),
        renewalAgeMillis = null,
        readAgeMillis = if (from == "a00") relay.readAgeMillis() else 10,
        configurationVersion = 0,
        serverListDelta =
            if (from == "a00") relay.deltaToReport() else ServerListDelta(0, 5, emptyList()),
        centres = centres
    )

    private fun exchange(linkBytesPerSecond: Long) = PeerExchange(
        loop = loop,
        view = view,
        log = log,
        clock = clock,
        report = { sequence, centres -> report("a00", sequence, centres) },
        onReport = {},
        linkBytesPerSecond = linkBytesPerSecond,
        traffic = PeerTraffic(clock, log) { datagrams.incrementAndGet() }
    ).also {
        val port = sockets[0].localPort.also { sockets[0].close() }
        it.listen(HostPort("127.0.0.1", port))
    }

    private class EmptyFeed<T> : ChangeFeed<T> {
        override suspend fun snapshot(): Result<ChangeBatch<T>, StoreError> =
            Ok(ChangeBatch(emptyList(), 5))

        override suspend fun changes(
            position: Long,
            waitMillis: Long
        ): Result<ChangeBatch<T>, StoreError> {
            delay(60_000)
            return Ok(ChangeBatch(emptyList(), position))
        }
    }

    private val store = object : PlatformStore {
        override val configurations: ChangeFeed<Configuration> = EmptyFeed()
        override val backendServers: ChangeFeed<BackendServer> = EmptyFeed()
        override val duties: DutyGroup get() = error("duties are not used in this test")
        override val epoch = StoreEpoch()
    }

    /**
     * Guards against a relay that requests a report of the same read again with each report that it
     * receives until its queue can send the first.
     */
    @Test
    fun `a received read is reported once although the report has to wait`() {
        val exchange = exchange(linkBytesPerSecond = 500_000)
        val requested = AtomicInteger()
        val follower = StoreFollower(
            store = store,
            configuration = ConfigurationHolder(log),
            directory = BackendDirectory(clock, log),
            relay = relay,
            peers = view,
            clock = clock,
            log = log,
            sendReport = {
                if (it == ReportReason.SERVER_LIST) requested.incrementAndGet()
                exchange.send(it)
            }
        )
        runBlocking {
            withContext(loop.dispatcher) {
                coroutineScope {
                    follower.launchIn(this)
                    delay(50)
                    exchange.send(ReportReason.SUMMARY_INTERVAL)
                    repeat(10) { follower.onPeerReport(report("b20", it.toLong(), emptyList())) }
                    coroutineContext.cancelChildren()
                }
            }
        }
        expectThat(requested.get()).isEqualTo(1)
    }

    /** Guards against peers that hear nothing of a relay whose summaries exceed a datagram. */
    @Test
    fun `peers get a report although the summaries exceed a datagram`() {
        val centre = DataCentreSummary(
            dataCentre = "b",
            ageMillis = 0,
            instances = 20,
            load = load(4_000),
            requestsByService = emptyMap(),
            retries = emptyMap(),
            unreachable = emptyList(),
            renewalAgeMillis = null
        )
        loadSize = 10
        view.onReport(
            report("b20", 1, listOf(centre)),
            HostPort("127.0.0.1", sockets[20].localPort)
        )
        val exchange = exchange(linkBytesPerSecond = 125_000_000)
        runBlocking {
            withContext(loop.dispatcher) { exchange.send(ReportReason.SUMMARY_INTERVAL) }
        }
        TimeUnit.MILLISECONDS.sleep(300)
        // Two remote relays; the rest are local peers.
        expectThat(datagrams.get()).isGreaterThan(2)
    }
}
