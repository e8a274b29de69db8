package io.greengageport.entry

import io.greengageport.common.RunnerId
import io.greengageport.ports.RouteHop
import io.ktor.client.HttpClient
import io.ktor.client.engine.HttpClientEngineBase
import io.ktor.client.engine.HttpClientEngineCapability
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutCapability
import io.ktor.client.request.HttpRequestData
import io.ktor.client.request.HttpResponseData
import io.ktor.utils.io.InternalAPI
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against overloaded runners that count as crashed, which would mark their requests. */
class RunnerProbeTest {
    private val hop = RouteHop(RunnerId("r1"), "127.0.0.1:1", 0, 4)

    private fun probe(failure: IOException) = runBlocking {
        val client = HttpClient(FailingEngine(listOf(failure))) { install(HttpTimeout) }
        client.use { RunnerProbe(it, timeoutMillis = 60_000).probe(hop.address) }
    }

    @Test
    fun `a refused connection counts as refused`() {
        expectThat(probe(ConnectException("refused"))).isEqualTo(ProbeResult.Refused)
    }

    @Test
    fun `a connection timeout counts as silent, not as refused`() {
        expectThat(probe(ConnectTimeoutException("no connection within 250 ms")))
            .isEqualTo(ProbeResult.Silent)
    }

    @Test
    fun `a broken connection counts as silent`() {
        expectThat(probe(IOException("reset"))).isEqualTo(ProbeResult.Silent)
    }

    /** Guards against an undetected crash, whose unmarked request could crash a third runner. */
    @Test
    fun `a stopping process is probed until its port refuses connections`() = runBlocking<Unit> {
        val failures = listOf(IOException("reset"), IOException("reset"), ConnectException("no"))
        val client = HttpClient(FailingEngine(failures)) { install(HttpTimeout) }
        val results = client.use {
            RunnerProbe(it, timeoutMillis = 60_000).probeBroken(listOf(hop))
        }
        expectThat(results).isEqualTo(mapOf(hop to ProbeResult.Refused))
    }

    /** Fails each request with the next of [failures], and repeats the last one. */
    private class FailingEngine(private val failures: List<IOException>) :
        HttpClientEngineBase("failing") {
        override val config: HttpClientEngineConfig = HttpClientEngineConfig()

        override val supportedCapabilities: Set<HttpClientEngineCapability<*>> =
            setOf(HttpTimeoutCapability)

        private val next = AtomicInteger()

        @InternalAPI
        override suspend fun execute(data: HttpRequestData): HttpResponseData =
            throw failures[minOf(next.getAndIncrement(), failures.lastIndex)]
    }
}
