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

/**
 * Stand-in for a model engine that serves a range of layers with continuous batching.
 *
 * The first stage of a chain streams the tokens; each stage forwards a step to the next one. If a
 * stage fails, the stream ends without a frame that is marked as the last.
 */
internal class EngineServer(private val settings: EngineSettings, private val client: HttpClient) {
    private val bootId = Random.nextLong().toULong().toString(HEX)
    private val scheduler = StepScheduler(settings.stepMillis, settings.batchSize)
    private val pendingWork = PendingWork()
    private val cache = PrefixCache(settings.cacheTokens)
    private val kvCache = ConcurrentHashMap<RequestId, Int>()
    private val cancelledRequests = ConcurrentHashMap.newKeySet<RequestId>()
    private val running = AtomicInteger()
    private val generates = AtomicLong()
    private val steps = AtomicLong()
    private val cancelledCount = AtomicLong()
    private val acceptedOrders = AtomicLong()
    private val highestFencing = AtomicLong()
    private val lastStepNanos = AtomicLong(System.nanoTime() - IDLE_NANOS)
    private val wrongFrame = AtomicReference<WrongFrame?>()

    @Volatile
    private var version = settings.version

    @Volatile
    private var layers = settings.layers

    @Volatile
    private var role = "serving"

    @Volatile
    private var isFrozen = false

    @Volatile
    private var leaving = false

    @Volatile
    private var isReportingStopped = false

    @Volatile
    private var hopMillis = settings.hopMillis

    /** Starts the step scheduler in [scope]. */
    fun start(scope: CoroutineScope): Unit = scheduler.start(scope)

    /** Returns the current load report. */
    fun createLoadReport(): LoadReport = LoadReport(
        runner = settings.id,
        service = settings.service,
        bootId = bootId,
        reportedAtMillis = System.currentTimeMillis(),
        running = running.get(),
        queuedTokens = pendingWork.countTokens().roundToLong(),
        tokensPerSecond = scheduler.itemsPerSecond,
        layers = layers,
        version = version,
        leaving = leaving,
        role = role
    )

    /** Whether new requests are refused and the runner is listed as leaving. */
    val isLeaving: Boolean get() = leaving

    /** Whether load reports are sent; a test can stop them. */
    val isReporting: Boolean get() = !isReportingStopped

    /** Refuses new requests from now on. Running streams continue. */
    fun startLeaving() {
        leaving = true
    }

    /** Whether no request is running. */
    val isIdle: Boolean get() = running.get() == 0

    /** Installs the HTTP routes of the engine. */
    fun installRoutes(route: Route): Unit = with(route) {
        post("/v1/generate") { handleGenerate(call) }
        post("/v1/step") {
            awaitThaw()
            val step = json.decodeFromString<StepRequest>(call.receiveText())
            val reply = runStep(step)
            if (reply == null) call.sendFailure() else call.respondJson(json.encodeToString(reply))
        }
        post("/v1/cancel") {
            val c = json.decodeFromString<CancelRequest>(call.receiveText())
            cancelledRequests += c.request
            call.respondJson("{}")
        }
        get("/v1/load") {
            awaitThaw()
            call.respondJson(json.encodeToString(createLoadReport()))
        }
        post("/v1/orders") { handleOrder(call) }
        get("/v1/cache/{request}") {
            val tokens = kvCache[RequestId(call.parameters["request"].orEmpty())]
            if (tokens == null) {
                call.respondText("no cache", status = HttpStatusCode.NotFound)
            } else {
                call.respondJson(tokens.toString())
            }
        }
        put("/v1/cache/{request}") {
            kvCache[RequestId(call.parameters["request"].orEmpty())] = call.receiveText().toInt()
            call.respondJson("{}")
        }
        get("/v1/cache-events") {
            val from = call.request.queryParameters["from"]?.toLongOrNull() ?: 1
            call.respondJson(json.encodeToString(cache.eventsFrom(from)))
        }
        put("/control") { applyControl(call) }
        get("/counters") {
            call.respondJson(
                json.encodeToString(
                    EngineCounters(
                        generates = generates.get(),
                        steps = steps.get(),
                        running = running.get(),
                        cancelled = cancelledCount.get(),
                        fencing = highestFencing.get(),
                        ordersAccepted = acceptedOrders.get(),
                        version = version,
                        batches = scheduler.batches,
                        busyMillis = scheduler.busyMillis
                    )
                )
            )
        }
    }

    /**
     * Streams the tokens of a request, one JSON frame per line. Responds with status 503 without
     * running the request if the engine is leaving or does not hold the layers of the first hop.
     */
    private suspend fun handleGenerate(call: ApplicationCall) {
        awaitThaw()
        val generation = json.decodeFromString<GenerateRequest>(call.receiveText())
        generates.incrementAndGet()
        if (leaving || !holds(generation.route.firstOrNull())) {
            if (leaving) call.response.header("Greengage-Leaving", "true")
            call.respondText("refused, not run", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        running.incrementAndGet()
        try {
            if (settings.crashMarker != null && settings.crashMarker in generation.prompt) crash()
            call.respondBytesWriter(ContentType("application", "x-ndjson")) {
                var previous = generation.delivered.lastOrNull().orEmpty()
                for (i in generation.firstIndex until generation.maxTokens) {
                    if (cancelledRequests.remove(generation.request)) {
                        cancelledCount.incrementAndGet()
                        break
                    }
                    val frame = nextToken(generation, i, previous) ?: break
                    if (i > generation.firstIndex) {
                        wrongFrame.getAndSet(null)?.let { writeFrame(it.corrupt(frame)) }
                    }
                    previous = frame.text
                    writeFrame(frame)
                }
            }
        } finally {
            running.decrementAndGet()
            kvCache.remove(generation.request)
        }
    }

    /** Whether [hop] names this engine and layers that it has loaded. */
    private fun holds(hop: RouteHop?) =
        hop != null && hop.runner == settings.id && hop.layers in layers

    /** Writes one frame and flushes it, so that the caller gets each token at once. */
    private suspend fun ByteWriteChannel.writeFrame(f: TokenFrame) {
        writeStringUtf8(json.encodeToString(f) + "\n")
        flush()
    }

    /** Computes the token at [index]; null if a stage of the chain failed. */
    private suspend fun nextToken(
        generation: GenerateRequest,
        index: Int,
        previous: String
    ): TokenFrame? {
        awaitThaw()
        val tokens = ModelFunction.promptTokens(generation.prompt) + generation.delivered.size
        val first = index == generation.firstIndex
        val prefill =
            if (first) tokens - cache.lookUpAndAdd(settings.service.value, generation.prompt) else 0
        val reply = runStep(
            StepRequest(
                request = generation.request,
                attempt = generation.attempt,
                index = index,
                activation = ModelFunction.start(generation.prompt, index, previous),
                promptTokens = prefill,
                priority = generation.priority,
                route = generation.route,
                position = 0,
                maxTokens = generation.maxTokens
            )
        ) ?: return null
        return TokenFrame(
            request = generation.request,
            attempt = generation.attempt,
            index = index,
            text = ModelFunction.text(reply.activation),
            layers = reply.layers,
            last = index == generation.maxTokens - 1,
            hopMicros = reply.hopMicros,
            stageMicros = reply.stageMicros
        )
    }

    /**
     * Runs one step on this stage and on those after it. Returns null if the route does not match
     * the loaded layers or a later stage fails.
     */
    private suspend fun runStep(step: StepRequest): StepReply? {
        val hop = step.route[step.position]
        if (!holds(hop)) return null
        steps.incrementAndGet()
        lastStepNanos.set(System.nanoTime())
        val start = System.nanoTime()
        val prefillSteps = when {
            step.promptTokens <= 0 || kvCache.containsKey(step.request) -> 0
            else -> (step.promptTokens - 1) / settings.prefillTokensPerStep
        }
        val layerShare = (hop.until - hop.from).toDouble() / layers.size
        pendingWork.update(step.request, layerShare * maxOf(1, step.maxTokens - step.index))
        scheduler.run(step.priority, items = 1 + prefillSteps, layerShare)
        pendingWork.update(step.request, layerShare * (step.maxTokens - step.index - 1))
        kvCache[step.request] = step.index + 1
        val trace = StageTrace(settings.id, hop.from, hop.until)
        val activation = ModelFunction.run(step.activation, hop.from, hop.until)
        val stageMicros = (System.nanoTime() - start) / NANOS_PER_MICRO
        if (step.position == step.route.lastIndex) {
            return StepReply(
                step.request,
                step.attempt,
                step.index,
                activation,
                listOf(trace),
                stageMicros = listOf(stageMicros)
            )
        }
        val next = step.copy(activation = activation, position = step.position + 1)
        return forward(step.route[next.position], next)?.let {
            it.reply.copy(
                layers = listOf(trace) + it.reply.layers,
                hopMicros = listOf(it.micros) + it.reply.hopMicros,
                stageMicros = listOf(stageMicros) + it.reply.stageMicros
            )
        }
    }

    /** A reply of the next stage and the time until it arrived, including the hop delay. */
    private class Forwarded(val reply: StepReply, val micros: Long)

    /** Sends [step] to the next stage; returns null on an I/O error or another status than 200. */
    private suspend fun forward(to: RouteHop, step: StepRequest): Forwarded? {
        val start = System.nanoTime()
        if (hopMillis > 0) delay(hopMillis)
        return try {
            val r = client.post("http://${to.address}/v1/step") {
                setBody(json.encodeToString(step))
            }
            if (r.status != HttpStatusCode.OK) return null
            val reply = json.decodeFromString<StepReply>(r.bodyAsText())
            Forwarded(reply, (System.nanoTime() - start) / NANOS_PER_MICRO)
        } catch (e: java.io.IOException) {
            null
        }
    }

    /**
     * Waits until the engine is idle, then loads the model version and the layers of an order.
     *
     * Rejects the order with status 409 if the engine checks fencing tokens and has seen a higher
     * one, also while it was loading, and with status 503 if the engine does not become idle.
     */
    private suspend fun handleOrder(call: ApplicationCall) {
        awaitThaw()
        val orderRequest = json.decodeFromString<OrderRequest>(call.receiveText())
        val highest = highestFencing.accumulateAndGet(orderRequest.fencing) { a, b -> maxOf(a, b) }
        if (settings.checksFencing && orderRequest.fencing < highest) {
            call.respondJson(
                json.encodeToString(OrderReply(accepted = false, fencing = highest)),
                HttpStatusCode.Conflict
            )
            return
        }
        if (!awaitIdle()) {
            call.respondJson(
                json.encodeToString(OrderReply(accepted = false, fencing = highest)),
                HttpStatusCode.ServiceUnavailable
            )
            return
        }
        delay(settings.loadMillis)
        if (settings.checksFencing && orderRequest.fencing < highestFencing.get()) {
            call.respondJson(
                json.encodeToString(OrderReply(accepted = false, fencing = highestFencing.get())),
                HttpStatusCode.Conflict
            )
            return
        }
        version = orderRequest.order.version
        orderRequest.order.layers?.let { layers = it }
        if (orderRequest.order.role.isNotEmpty()) role = orderRequest.order.role
        acceptedOrders.incrementAndGet()
        call.respondJson(json.encodeToString(OrderReply(accepted = true, fencing = highest)))
    }

    /**
     * Waits until the streams that this stage takes part in have ended, which it concludes from
     * [IDLE_NANOS] without a step. Returns false if that takes longer than [IDLE_LIMIT_MILLIS].
     */
    private suspend fun awaitIdle(): Boolean = withTimeoutOrNull(IDLE_LIMIT_MILLIS) {
        while (lastStepNanos.get() > System.nanoTime() - IDLE_NANOS) delay(IDLE_POLL_MILLIS)
        true
    } ?: false

    private suspend fun applyControl(call: ApplicationCall) {
        val c = json.decodeFromString<EngineControl>(call.receiveText())
        c.frozen?.let { isFrozen = it }
        c.slowdown?.let { scheduler.slowdown = it }
        c.hopMillis?.let { hopMillis = it }
        c.leaving?.let { leaving = it }
        c.reportsStopped?.let { isReportingStopped = it }
        c.wrongFrame?.let { wrongFrame.set(it) }
        call.respondJson("{}")
        if (c.crash) crash()
    }

    /** Suspends while a test has frozen the engine. */
    private suspend fun awaitThaw() {
        while (isFrozen) delay(FROZEN_POLL_MILLIS)
    }

    /** Halts the process as a crash would, without shutdown hooks and without closing streams. */
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

/** Reports that the chain failed at or after this stage. */
private suspend fun ApplicationCall.sendFailure() =
    respondText("next stage failed", status = HttpStatusCode.BadGateway)
