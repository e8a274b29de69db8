package io.greengageport.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Faults that a test sets with `PUT /control` of a plain service; absent fields stay. */
@Serializable
internal data class PlainControl(
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** Runs the call, then ends the connection in the middle of the answer. */
    @SerialName("lose_next_answers") val loseNextAnswers: Int? = null,
    val leaving: Boolean? = null
)

/** One effect of a non-idempotent call. */
@Serializable
internal data class Effect(val method: String, val path: String, val key: String, val body: String)

/** Stands in for a plain service; each `POST` has an effect that is recorded in memory. */
internal class PlainServer(private val name: String, private val deduplicates: Boolean) {
    private val effects = mutableListOf<Effect>()
    private val loseNext = AtomicInteger()
    private val running = AtomicInteger()
    private val received = AtomicInteger()

    @Volatile
    private var delayMillis = 0L

    @Volatile
    var isLeaving: Boolean = false
        private set

    val isIdle: Boolean get() = running.get() == 0

    fun leave() {
        isLeaving = true
    }

    fun routes(route: Route): Unit = with(route) {
        get("/effects") {
            call.json(json.encodeToString(synchronized(effects) { effects.toList() }))
        }
        get("/counters") {
            call.json("""{"received":${received.get()},"running":${running.get()}}""")
        }
        get("/v1/load") { call.json("{}") }
        put("/control") {
            val c = json.decodeFromString<PlainControl>(call.receiveText())
            c.delayMillis?.let { delayMillis = it }
            c.loseNextAnswers?.let { loseNext.set(it) }
            c.leaving?.let { isLeaving = it }
            call.json("{}")
        }
        route("{path...}") {
            handle { serve(call) }
        }
    }

    private suspend fun serve(call: ApplicationCall) {
        running.incrementAndGet()
        try {
            val method = call.request.httpMethod
            val body = call.receiveText()
            received.incrementAndGet()
            if (delayMillis > 0) delay(delayMillis)
            call.response.header("Served-By", name)
            if (isLeaving) call.response.header("Greengage-Leaving", "true")
            if (method == HttpMethod.Get) {
                call.respondText("$name ${call.request.path()}", ContentType.Text.Plain)
                return
            }
            val key = call.request.headers["Idempotency-Key"].orEmpty()
            val number = record(Effect(method.value, call.request.path(), key, body))
            if (loseNext.getAndUpdate { maxOf(0, it - 1) } > 0) {
                // An exception before the head would be answered with status 500.
                call.respondBytesWriter(contentLength = 1) { throw IOException("answer lost") }
                return
            }
            call.respondText(
                """{"number":$number,"echo":${json.encodeToString(body)}}""",
                ContentType.Application.Json,
                HttpStatusCode.Created
            )
        } finally {
            running.decrementAndGet()
        }
    }

    private fun record(e: Effect): Int = synchronized(effects) {
        val earlier = if (deduplicates) effects.indexOfFirst { it.key == e.key } else -1
        if (earlier >= 0) return earlier + 1
        effects += e
        effects.size
    }
}
