package io.greengageport.standins

import com.github.michaelbull.result.fold
import io.greengageport.common.InstanceId
import io.greengageport.common.RunnerId
import io.greengageport.ports.AppendReply
import io.greengageport.ports.InstanceListing
import io.greengageport.ports.ListedInstance
import io.greengageport.ports.ListedRunner
import io.greengageport.ports.LoadReport
import io.greengageport.ports.LogError
import io.greengageport.ports.LogPage
import io.greengageport.ports.TruncatedReply
import io.greengageport.testkit.AppendFault
import io.greengageport.testkit.InMemoryLog
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/**
 * Lags and retention of the platform stand-in.
 *
 * The instance list and the load reports are served [listLagMillis] and [loadLagMillis] late.
 * Entries of the list expire after [registrationTtlMillis], records of the log after
 * [retentionMillis].
 */
public data class PlatformTimes(
    val listLagMillis: Long = 500,
    val loadLagMillis: Long = 300,
    val registrationTtlMillis: Long = 3_000,
    val retentionMillis: Long = 3_600_000
)

/** Faults that a test sets with `PUT /control`. Absent fields change nothing. */
@Serializable
public data class PlatformControl(
    /** While true, all appends and reads of the log fail with status 503. */
    @SerialName("log_down") val logDown: Boolean? = null,
    /** Delay of each append before it is stored. */
    @SerialName("append_delay_ms") val appendDelayMillis: Long? = null,
    /** Like [loseAcknowledgementOf] for the next append to any stream. */
    @SerialName("lose_next_acknowledgement") val loseNextAcknowledgement: Boolean = false,
    /** Stores the next append to this stream and answers that its outcome is uncertain. */
    @SerialName("lose_acknowledgement_of") val loseAcknowledgementOf: String? = null,
    /** Like [loseAcknowledgementOf] for all appends to this stream; an empty name clears it. */
    @SerialName("lose_acknowledgements_of") val loseAcknowledgementsOf: String? = null,
    /** Drops the next append to this stream and answers that its outcome is uncertain. */
    @SerialName("drop_append_of") val dropAppendOf: String? = null,
    /** Answers the next append to this stream like [dropAppendOf], but stores it later. */
    @SerialName("late_append_of") val lateAppendOf: String? = null,
    /** While true, reads of the instance list and of the load reports fail with status 503. */
    @SerialName("list_down") val listDown: Boolean? = null,
    /** Removes the records of this stream whose offset is lower than [truncateBefore]. */
    @SerialName("truncate_stream") val truncateStream: String? = null,
    @SerialName("truncate_before") val truncateBefore: Long = 0
)

/** Counters of the platform stand-in since it started. */
@Serializable
public data class PlatformCounters(
    /** Records that were stored. */
    val appends: Long,
    /** Reads of the log that arrived, whether or not they succeeded. */
    val reads: Long,
    /** Appends received, by stream, whether or not they were stored. */
    val arrived: Map<String, Long> = emptyMap(),
    /**
     * Appends that were answered as uncertain, including dropped and late ones but not those of
     * [PlatformControl.loseNextAcknowledgement].
     */
    @SerialName("lost_acknowledgements") val lostAcknowledgements: Long = 0,
    /** Appends that were stored after they were answered. */
    @SerialName("late_appends") val lateAppends: Long = 0,
    /**
     * Successful calls by kind: `append STREAM` and `read STREAM` for the log, `list` and `load`
     * for reads of the instance list and of the load reports, `register` for entry instances.
     */
    val calls: Map<String, CallCount> = emptyMap()
)

/** Backend servers that a test lists without running them, all with one `PUT /control/runners`. */
@Serializable
public data class SyntheticRunners(val runners: List<ListedRunner>, val loads: List<LoadReport>)

/**
 * Stand-in for the platform: the append-only log, the instance list and load reports, which lag.
 *
 * Runners and instances register periodically with `PUT /v1/instances/...`. An entry that is not
 * renewed within [PlatformTimes.registrationTtlMillis] expires.
 */
public class PlatformServer(
    private val times: PlatformTimes = PlatformTimes(),
    private val log: InMemoryLog = InMemoryLog()
) {
    private class Registered<T>(val value: T, val registeredAtMillis: Long)

    private val runners = ConcurrentHashMap<RunnerId, Registered<ListedRunner>>()
    private val instances = ConcurrentHashMap<InstanceId, Registered<ListedInstance>>()
    private val loads = ConcurrentHashMap<RunnerId, LoadReport>()
    private val arrived = ConcurrentHashMap<String, Long>()

    private val uncertainAppends = LongAdder()

    /** Stream whose next append loses its acknowledgement. */
    private val loseAcknowledgementOf = AtomicReference<String?>()

    /** Stream whose next append is dropped. */
    private val dropAppendOf = AtomicReference<String?>()

    /** Stream whose next append is stored after its answer. */
    private val lateAppendOf = AtomicReference<String?>()

    private val lateAppends = LongAdder()

    /** Stream whose appends all lose their acknowledgement; empty for none. */
    @Volatile
    private var loseAcknowledgementsOf = ""

    @Volatile
    private var scope: CoroutineScope? = null

    @Volatile
    private var listing = TaggedPage.of(json.encodeToString(InstanceListing()))

    @Volatile
    private var loadPage = TaggedPage.of("[]")

    @Volatile
    private var appendDelayMillis = 0L

    @Volatile
    private var isListDown = false

    private val reads = LongAdder()
    private val calls = CallCounters()

    /**
     * Publishes the list and the load reports with their lags, and expires records of the log,
     * until [scope] ends.
     */
    public fun start(scope: CoroutineScope) {
        this.scope = scope
        scope.launch {
            while (isActive) {
                val now = nowMillis()
                val next = InstanceListing(
                    runners = runners.values.filter { isFresh(it, now) }.map { it.value }
                        .sortedBy { it.id },
                    instances = instances.values.filter { isFresh(it, now) }.map { it.value }
                        .sortedBy { it.id }
                )
                delay(times.listLagMillis)
                listing = TaggedPage.of(json.encodeToString(next))
            }
        }
        scope.launch {
            while (isActive) {
                val next = loads.values.sortedBy { it.runner }
                delay(times.loadLagMillis)
                loadPage = TaggedPage.of(json.encodeToString(next))
            }
        }
        scope.launch {
            while (isActive) {
                delay(RETENTION_PERIOD_MILLIS)
                log.expire(System.currentTimeMillis() - times.retentionMillis)
            }
        }
    }

    /** Installs the HTTP routes of the platform. */
    public fun installRoutes(route: Route): Unit = with(route) {
        post("/v1/log/{stream}") { append(call) }
        get("/v1/log/{stream}") { read(call) }
        get("/v1/instances") { respondPage(call, "list", listing) }
        get("/v1/load") { respondPage(call, "load", loadPage) }
        put("/v1/instances/runners") {
            val r = json.decodeFromString<ListedRunner>(call.receiveText())
            runners[r.id] = Registered(r, nowMillis())
            call.respondJson("{}")
        }
        delete("/v1/instances/runners/{id}") {
            runners.remove(RunnerId(call.parameters["id"].orEmpty()))
            call.respondJson("{}")
        }
        put("/v1/instances/entries") {
            val text = call.receiveText()
            val i = json.decodeFromString<ListedInstance>(text)
            instances[i.id] = Registered(i, nowMillis())
            call.respondCounted("register", "{}", receivedBytes = text.length)
        }
        put("/v1/load") {
            val l = json.decodeFromString<LoadReport>(call.receiveText())
            loads[l.runner] = l
            call.respondJson("{}")
        }
        put("/control") { applyControl(call) }
        put("/control/runners") {
            val s = json.decodeFromString<SyntheticRunners>(call.receiveText())
            for (r in s.runners) runners[r.id] = Registered(r, nowMillis())
            for (l in s.loads) loads[l.runner] = l
            call.respondJson("{}")
        }
        get("/counters") {
            val c = PlatformCounters(
                log.appendCount,
                reads.sum(),
                arrived,
                uncertainAppends.sum(),
                lateAppends.sum(),
                calls.snapshot()
            )
            call.respondJson(json.encodeToString(c))
        }
    }

    /** Appends the body to the log, with the delays and faults that a test has set. */
    private suspend fun append(call: ApplicationCall) {
        val stream = call.parameters["stream"].orEmpty()
        val payload = call.receive<ByteArray>()
        arrived.merge(stream, 1, Long::plus)
        if (appendDelayMillis > 0) delay(appendDelayMillis)
        if (!log.isDown && dropAppendOf.consume(stream)) {
            uncertainAppends.increment()
            call.respondLogError(LogError.Uncertain("append dropped"))
            return
        }
        if (!log.isDown && lateAppendOf.consume(stream)) {
            scope?.launch {
                delay(LATE_APPEND_MILLIS)
                log.append(stream, payload)
                lateAppends.increment()
            }
            uncertainAppends.increment()
            call.respondLogError(LogError.Uncertain("append in progress"))
            return
        }
        val result = log.append(stream, payload)
        if (result.isOk &&
            (stream == loseAcknowledgementsOf || loseAcknowledgementOf.consume(stream))
        ) {
            uncertainAppends.increment()
            call.respondLogError(LogError.Uncertain("acknowledgement lost"))
            return
        }
        result.fold(
            success = {
                val reply = json.encodeToString(AppendReply(it))
                call.respondCounted("append $stream", reply, receivedBytes = payload.size)
            },
            failure = { call.respondLogError(it) }
        )
    }

    private suspend fun read(call: ApplicationCall) {
        val q = call.request.queryParameters
        val stream = call.parameters["stream"].orEmpty()
        reads.increment()
        log.read(
            stream = stream,
            from = q["from"]?.toLongOrNull() ?: 1,
            max = (q["max"]?.toIntOrNull() ?: MAX_READ_RECORDS).coerceIn(1, MAX_READ_RECORDS),
            wait = (q["wait_ms"]?.toLongOrNull() ?: 0).coerceIn(0, MAX_WAIT_MILLIS).milliseconds
        ).fold(
            success = { call.respondCounted("read $stream", json.encodeToString(LogPage.of(it))) },
            failure = { call.respondLogError(it) }
        )
    }

    private suspend fun applyControl(call: ApplicationCall) {
        val c = json.decodeFromString<PlatformControl>(call.receiveText())
        c.logDown?.let { log.isDown = it }
        c.appendDelayMillis?.let { appendDelayMillis = it }
        c.listDown?.let { isListDown = it }
        if (c.loseNextAcknowledgement) log.nextAppendFault = AppendFault.LOSE_ACKNOWLEDGEMENT
        c.loseAcknowledgementOf?.let { loseAcknowledgementOf.set(it) }
        c.loseAcknowledgementsOf?.let { loseAcknowledgementsOf = it }
        c.dropAppendOf?.let { dropAppendOf.set(it) }
        c.lateAppendOf?.let { lateAppendOf.set(it) }
        c.truncateStream?.let { log.truncate(it, c.truncateBefore) }
        call.respondJson("{}")
    }

    /** Responds with [page], or with status 503 while the list is down. */
    private suspend fun respondPage(call: ApplicationCall, kind: String, page: TaggedPage) {
        if (isListDown) {
            call.respondUnavailable()
        } else {
            calls.add(kind, receivedBytes = 0, sentBytes = page.respondTo(call))
        }
    }

    /** Responds with the JSON [reply] and counts the call under [kind]. */
    private suspend fun ApplicationCall.respondCounted(
        kind: String,
        reply: String,
        receivedBytes: Int = 0
    ) {
        calls.add(kind, receivedBytes, reply.length)
        respondJson(reply)
    }

    /** Whether the one-time fault is set for [stream]; clears it if so. */
    private fun AtomicReference<String?>.consume(stream: String): Boolean =
        getAndUpdate { if (it == stream) null else it } == stream

    private fun isFresh(r: Registered<*>, now: Long) =
        now - r.registeredAtMillis < times.registrationTtlMillis

    /** A monotonic clock; its values have no relation to wall-clock time. */
    private fun nowMillis() = System.nanoTime() / NANOS_PER_MILLI

    private companion object {
        const val MAX_READ_RECORDS = 1_000
        const val MAX_WAIT_MILLIS = 30_000L
        const val RETENTION_PERIOD_MILLIS = 500L
        const val LATE_APPEND_MILLIS = 1_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

private suspend fun ApplicationCall.respondUnavailable() =
    respondText("down", status = HttpStatusCode.ServiceUnavailable)

private suspend fun ApplicationCall.respondLogError(e: LogError) = when (e) {
    is LogError.Unavailable -> respondUnavailable()

    is LogError.Uncertain -> respondText(e.reason, status = HttpStatusCode.GatewayTimeout)

    is LogError.Rejected -> respondText(e.reason, status = HttpStatusCode.BadRequest)

    is LogError.Truncated -> respondText(
        json.encodeToString(TruncatedReply(e.earliest)),
        ContentType.Application.Json,
        HttpStatusCode.Gone
    )
}
