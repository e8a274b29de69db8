package io.greengageport.standins

import io.greengageport.common.RequestId
import io.greengageport.ports.CancelRequest
import io.greengageport.ports.GenerateRequest
import io.greengageport.ports.LoadReport
import io.greengageport.ports.OrderReply
import io.greengageport.ports.OrderRequest
import io.greengageport.ports.RouteHop
import io.greengageport.ports.StageTrace
import io.greengageport.ports.StepReply
import io.greengageport.ports.StepRequest
import io.greengageport.ports.TokenFrame
import io.ktor.client.HttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString

/** Stands in for a model engine that holds a range of layers and works in continuous batches. */
internal class EngineServer(private val settings: EngineSettings, private val client: HttpClient) {
    private val bootId = Random.nextLong().toULong().toString(HEX)
    private val scheduler = StepScheduler(settings.stepMillis, settings.batch)
    private val work = OpenWork()
    private val cache = PrefixCache(settings.cacheTokens)
    private val kvCache = ConcurrentHashMap<RequestId, Int>()
    private val cancelled = ConcurrentHashMap.newKeySet<RequestId>()
    private val running = AtomicInteger()
    private val generates = AtomicLong()
    private val steps = AtomicLong()
    private val cancels = AtomicLong()
    private val orders = AtomicLong()
    private val fencing = AtomicLong()
    private val lastStepAt = AtomicLong(System.nanoTime() - IDLE_NANOS)
    private val wrongFrame = AtomicReference<WrongFrame?>()

    @Volatile
    private var version = settings.version

    @Volatile
    private var layers = settings.layers

    @Volatile
    private var role = "serving"

    @Volatile
    private var frozen = false

    @Volatile
    private var leaving = false

    @Volatile
    private var reportsStopped = false

    @Volatile
    private var hopMillis = settings.hopMillis

    fun start(scope: CoroutineScope): Unit = scheduler.start(scope)

    /** The load report at this moment. */
    fun load(): LoadReport = LoadReport(
        runner = settings.id,
        service = settings.service,
        bootId = bootId,
        reportedAtMillis = System.currentTimeMillis(),
        running = running.get(),
        queuedTokens = work.tokens().roundToLong(),
        tokensPerSecond = scheduler.itemsPerSecond,
        layers = layers,
        version = version,
        leaving = leaving,
        role = role
    )

    val isLeaving: Boolean get() = leaving

    /** Whether load reports are to be sent. */
    val isReporting: Boolean get() = !reportsStopped

    /** Takes no new work from now on; streams that run go on. */
    fun leave() {
        leaving = true
    }

    val isIdle: Boolean get() = running.get() == 0

    fun routes(route: Route): Unit = with(route) {
        post("/v1/generate") { generate(call) }
        post("/v1/step") {
            thaw()
            val s = json.decodeFromString<StepRequest>(call.receiveText())
            val reply = step(s)
            if (reply == null) call.badGateway() else call.json(json.encodeToString(reply))
        }
        post("/v1/cancel") {
            val c = json.decodeFromString<CancelRequest>(call.receiveText())
            cancelled += c.request
            call.json("{}")
        }
        get("/v1/load") {
            thaw()
            call.json(json.encodeToString(load()))
        }
        post("/v1/orders") { order(call) }
        get("/v1/cache/{request}") {
            val tokens = kvCache[RequestId(call.parameters["request"].orEmpty())]
            if (tokens == null) {
                call.respondText("no cache", status = HttpStatusCode.NotFound)
            } else {
                call.json(tokens.toString())
            }
        }
        put("/v1/cache/{request}") {
            kvCache[RequestId(call.parameters["request"].orEmpty())] = call.receiveText().toInt()
            call.json("{}")
        }
        get("/v1/cache-events") {
            val from = call.request.queryParameters["from"]?.toLongOrNull() ?: 1
            call.json(json.encodeToString(cache.eventsFrom(from)))
        }
        put("/control") { control(call) }
        get("/counters") {
            call.json(
                json.encodeToString(
                    EngineCounters(
                        generates = generates.get(),
                        steps = steps.get(),
                        running = running.get(),
                        cancelled = cancels.get(),
                        fencing = fencing.get(),
                        ordersAccepted = orders.get(),
                        version = version,
                        batches = scheduler.batches,
                        busyMillis = scheduler.busyMillis
                    )
                )
            )
        }
    }

    private suspend fun generate(call: ApplicationCall) {
        thaw()
        val g = json.decodeFromString<GenerateRequest>(call.receiveText())
        generates.incrementAndGet()
        if (leaving || !holds(g.route.firstOrNull())) {
            if (leaving) call.response.header("Greengage-Leaving", "true")
            call.respondText("refused, not run", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        running.incrementAndGet()
        try {
            if (settings.crashMarker != null && settings.crashMarker in g.prompt) crash()
            call.respondBytesWriter(ContentType("application", "x-ndjson")) {
                var previous = g.delivered.lastOrNull().orEmpty()
                for (i in g.firstIndex until g.maxTokens) {
                    if (cancelled.remove(g.request)) {
                        cancels.incrementAndGet()
                        break
                    }
                    val frame = token(g, i, previous) ?: break
                    if (i > g.firstIndex) {
                        wrongFrame.getAndSet(null)?.let { writeFrame(it.before(frame)) }
                    }
                    previous = frame.text
                    writeFrame(frame)
                }
            }
        } finally {
            running.decrementAndGet()
            kvCache.remove(g.request)
        }
    }

    private fun holds(hop: RouteHop?) =
        hop != null && hop.runner == settings.id && hop.layers in layers

    private suspend fun ByteWriteChannel.writeFrame(f: TokenFrame) {
        writeStringUtf8(json.encodeToString(f) + "\n")
        flush()
    }

    private suspend fun token(g: GenerateRequest, index: Int, previous: String): TokenFrame? {
        thaw()
        val tokens = ModelFunction.promptTokens(g.prompt) + g.delivered.size
        val first = index == g.firstIndex
        val prefill = if (first) tokens - cache.use(settings.service.value, g.prompt) else 0
        val reply = step(
            StepRequest(
                request = g.request,
                attempt = g.attempt,
                index = index,
                activation = ModelFunction.start(g.prompt, index, previous),
                promptTokens = prefill,
                priority = g.priority,
                route = g.route,
                position = 0,
                maxTokens = g.maxTokens
            )
        ) ?: return null
        return TokenFrame(
            request = g.request,
            attempt = g.attempt,
            index = index,
            text = ModelFunction.text(reply.activation),
            layers = reply.layers,
            last = index == g.maxTokens - 1,
            hopMicros = reply.hopMicros,
            stageMicros = reply.stageMicros
        )
    }

    private suspend fun step(s: StepRequest): StepReply? {
        val hop = s.route[s.position]
        if (!holds(hop)) return null
        steps.incrementAndGet()
        lastStepAt.set(System.nanoTime())
        val start = System.nanoTime()
        val prefillSteps = when {
            s.promptTokens <= 0 || kvCache.containsKey(s.request) -> 0
            else -> (s.promptTokens - 1) / settings.prefillTokensPerStep
        }
        val part = (hop.until - hop.from).toDouble() / layers.size
        work.note(s.request, part * maxOf(1, s.maxTokens - s.index))
        scheduler.run(s.priority, items = 1 + prefillSteps, part)
        work.note(s.request, part * (s.maxTokens - s.index - 1))
        kvCache[s.request] = s.index + 1
        val trace = StageTrace(settings.id, hop.from, hop.until)
        val activation = ModelFunction.run(s.activation, hop.from, hop.until)
        val own = (System.nanoTime() - start) / NANOS_PER_MICRO
        if (s.position == s.route.lastIndex) {
            return StepReply(
                s.request,
                s.attempt,
                s.index,
                activation,
                listOf(trace),
                stageMicros = listOf(own)
            )
        }
        val next = s.copy(activation = activation, position = s.position + 1)
        return forward(s.route[next.position], next)?.let {
            it.reply.copy(
                layers = listOf(trace) + it.reply.layers,
                hopMicros = listOf(it.micros) + it.reply.hopMicros,
                stageMicros = listOf(own) + it.reply.stageMicros
            )
        }
    }

    private class Forwarded(val reply: StepReply, val micros: Long)

    private suspend fun forward(to: RouteHop, s: StepRequest): Forwarded? {
        val start = System.nanoTime()
        if (hopMillis > 0) delay(hopMillis)
        return try {
            val r = client.post("http://${to.address}/v1/step") {
                setBody(json.encodeToString(s))
            }
            if (r.status != HttpStatusCode.OK) return null
            val reply = json.decodeFromString<StepReply>(r.bodyAsText())
            Forwarded(reply, (System.nanoTime() - start) / NANOS_PER_MICRO)
        } catch (e: java.io.IOException) {
            null
        }
    }

    private suspend fun order(call: ApplicationCall) {
        thaw()
        val o = json.decodeFromString<OrderRequest>(call.receiveText())
        val highest = fencing.accumulateAndGet(o.fencing) { a, b -> maxOf(a, b) }
        if (settings.checksFencing && o.fencing < highest) {
            call.json(
                json.encodeToString(OrderReply(accepted = false, fencing = highest)),
                HttpStatusCode.Conflict
            )
            return
        }
        if (!awaitIdle()) {
            call.json(
                json.encodeToString(OrderReply(accepted = false, fencing = highest)),
                HttpStatusCode.ServiceUnavailable
            )
            return
        }
        delay(settings.loadMillis)
        if (settings.checksFencing && o.fencing < fencing.get()) {
            call.json(
                json.encodeToString(OrderReply(accepted = false, fencing = fencing.get())),
                HttpStatusCode.Conflict
            )
            return
        }
        version = o.order.version
        o.order.layers?.let { layers = it }
        if (o.order.role.isNotEmpty()) role = o.order.role
        orders.incrementAndGet()
        call.json(json.encodeToString(OrderReply(accepted = true, fencing = highest)))
    }

    /** Waits until the streams that this stage takes part in have ended. */
    private suspend fun awaitIdle(): Boolean = withTimeoutOrNull(IDLE_LIMIT_MILLIS) {
        while (lastStepAt.get() > System.nanoTime() - IDLE_NANOS) delay(IDLE_POLL_MILLIS)
        true
    } ?: false

    private suspend fun control(call: ApplicationCall) {
        val c = json.decodeFromString<EngineControl>(call.receiveText())
        c.frozen?.let { frozen = it }
        c.slowdown?.let { scheduler.slowdown = it }
        c.hopMillis?.let { hopMillis = it }
        c.leaving?.let { leaving = it }
        c.reportsStopped?.let { reportsStopped = it }
        c.wrongFrame?.let { wrongFrame.set(it) }
        call.json("{}")
        if (c.crash) crash()
    }

    private suspend fun thaw() {
        while (frozen) delay(FROZEN_POLL_MILLIS)
    }

    /** Ends the process as a crash does, without closing streams in order. */
    private fun crash(): Nothing {
        Runtime.getRuntime().halt(CRASH_STATUS)
        exitProcess(CRASH_STATUS)
    }

    private companion object {
        const val HEX = 16
        const val IDLE_NANOS = 1_000_000_000L
        const val IDLE_POLL_MILLIS = 20L
        const val IDLE_LIMIT_MILLIS = 4_000L
        const val NANOS_PER_MICRO = 1_000L
        const val FROZEN_POLL_MILLIS = 20L
        const val CRASH_STATUS = 134
    }
}

private suspend fun ApplicationCall.badGateway() =
    respondText("next stage failed", status = HttpStatusCode.BadGateway)
