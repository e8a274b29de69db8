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

/** Faults that a test sets with `PUT /control`. Absent fields change nothing. */
@Serializable
internal data class PlainControl(
    /** Delay of each call before it takes effect. */
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** Number of calls other than `GET` to run and then to cut off in the middle of the answer. */
    @SerialName("lose_next_answers") val loseNextAnswers: Int? = null,
    /** While true, the service is marked as leaving in its answers and in the instance list. */
    val leaving: Boolean? = null
)

/** The recorded effect of one call other than `GET`; [key] is empty if the call had none. */
@Serializable
internal data class Effect(val method: String, val path: String, val key: String, val body: String)

/**
 * Stand-in for a plain service. Each call other than `GET` has an effect that is recorded in
 * memory, once per idempotency key if [deduplicates] is set.
 */
internal class PlainServer(private val name: String, private val deduplicates: Boolean) {
    private val effects = mutableListOf<Effect>()

    private val answersToLose = AtomicInteger()
    private val running = AtomicInteger()
    private val received = AtomicInteger()

    @Volatile
    private var delayMillis = 0L

    /** Whether the service is marked as leaving. */
    @Volatile
    var isLeaving: Boolean = false
        private set

    /** Whether no call is running. */
    val isIdle: Boolean get() = running.get() == 0

    /** Marks the service as leaving in its answers and the instance list. Calls still run. */
    fun startLeaving() {
        isLeaving = true
    }

    /** Installs the HTTP routes of the service. */
    fun installRoutes(route: Route): Unit = with(route) {
        get("/effects") {
            call.respondJson(json.encodeToString(synchronized(effects) { effects.toList() }))
        }
        get("/counters") {
            call.respondJson("""{"received":${received.get()},"running":${running.get()}}""")
        }
        get("/v1/load") { call.respondJson("{}") }
        put("/control") {
            val c = json.decodeFromString<PlainControl>(call.receiveText())
            c.delayMillis?.let { delayMillis = it }
            c.loseNextAnswers?.let { answersToLose.set(it) }
            c.leaving?.let { isLeaving = it }
            call.respondJson("{}")
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
            if (answersToLose.getAndUpdate { maxOf(0, it - 1) } > 0) {
                // Ktor would answer an exception before the response head with status 500.
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

    /** Records [effect] and returns its number, or that of the earlier effect with its key. */
    private fun record(effect: Effect): Int = synchronized(effects) {
        val earlier = if (deduplicates) effects.indexOfFirst { it.key == effect.key } else -1
        if (earlier >= 0) return earlier + 1
        effects += effect
        effects.size
    }
}
