package io.greengageport.entry

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.ports.GenerateRequest
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.LoadReport
import io.greengageport.ports.StageTrace
import io.greengageport.ports.TokenFrame
import io.ktor.http.ContentType
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.runBlocking

/** An in-process engine that answers `/v1/generate` according to [script]. */
internal class ScriptedEngine(
    val id: RunnerId,
    private val layers: LayerRange,
    private val version: String = "",
    private val script: suspend Script.() -> Unit
) : AutoCloseable {
    /** The receiver of a script, with the operations to answer one request. */
    class Script(val request: GenerateRequest, private val channel: ByteWriteChannel) {
        fun frame(index: Int, text: String = "t$index ") = TokenFrame(
            request = request.request,
            attempt = request.attempt,
            index = index,
            text = text,
            layers = request.route.map { StageTrace(it.runner, it.from, it.until) },
            last = index == request.maxTokens - 1
        )

        suspend fun send(f: TokenFrame) {
            channel.writeStringUtf8(f.toJson() + "\n")
            channel.flush()
        }

        suspend fun answerFrom(first: Int) {
            for (i in first until request.maxTokens) send(frame(i))
        }
    }

    /** Received requests in the order of arrival. */
    val requests = CopyOnWriteArrayList<GenerateRequest>()
    private val server: EmbeddedServer<*, *>
    private val address: HostPort

    init {
        val (s, a) = runBlocking {
            startServer("127.0.0.1:0", BoundsConfig()) {
                get("/v1/load") {
                    call.respondText(report(rate = 0.0).toJson())
                }
                post("/v1/generate") {
                    val g = entryJson.decodeFromString<GenerateRequest>(call.receiveText())
                    requests += g
                    call.respondBytesWriter(ContentType.Text.Plain) { Script(g, this).script() }
                }
                post("/v1/cancel") { call.respondText("{}") }
            }
        }
        server = s
        address = a
    }

    /** The engine's entry in the instance list. */
    val listed = ListedRunner(
        id = id,
        service = ServiceName("model"),
        address = address.toString(),
        dataCentre = DataCentre("dc1"),
        layers = layers
    )

    /** A load report with the service [rate] in tokens/s. */
    fun report(rate: Double) = LoadReport(
        id,
        ServiceName("model"),
        "boot-1",
        tokensPerSecond = rate,
        version = version
    )

    override fun close() {
        server.stop(0, 0)
    }
}
