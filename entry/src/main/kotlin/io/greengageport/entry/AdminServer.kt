package io.greengageport.entry

import com.github.michaelbull.result.getOrElse
import io.greengageport.common.RequestId
import io.greengageport.settings.Author
import io.greengageport.settings.ChangeId
import io.greengageport.settings.FateReport
import io.greengageport.settings.HistoryEntry
import io.greengageport.settings.KeyHash
import io.greengageport.settings.NotAppendedReason
import io.greengageport.settings.PublishOutcome
import io.greengageport.settings.SettingsFile
import io.greengageport.settings.SettingsPath
import io.greengageport.settings.SettingsPublisher
import io.greengageport.settings.SettingsView
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException
import org.tinylog.kotlin.Logger

/** The parts that the admin port uses. */
internal class AdminParts(
    val view: () -> SettingsView,
    val publisher: SettingsPublisher,
    val decisions: DecisionLog,
    val metrics: EntryMetrics,
    val status: () -> InstanceStatus,
    val drain: () -> Unit,
    val adminKeyHash: String
)

/** The HTTP port towards operators: health, metrics, status, settings, drain and decisions. */
internal class AdminServer(private val parts: AdminParts) {
    fun routes(route: Route): Unit = with(route) {
        get("/healthz") { call.respondText("ok") }
        get("/readyz") {
            val s = parts.status()
            if (s.ready) {
                call.respondText("ready")
            } else {
                val why = s.notReadyBecause.joinToString()
                call.respondText(why, status = HttpStatusCode.ServiceUnavailable)
            }
        }
        get("/metrics") { call.respondText(parts.metrics.page(), ContentType.Text.Plain) }
        get("/admin/status") { allowed(call) { reply(call, parts.status().toJson()) } }
        get("/admin/decisions/{id}") {
            allowed(call) {
                val id = RequestId(call.parameters["id"].orEmpty())
                reply(call, parts.decisions.of(id).toJson())
            }
        }
        post("/admin/drain") {
            allowed(call) {
                parts.drain()
                reply(call, "{}")
            }
        }
        settingsRoutes(this)
    }

    private fun settingsRoutes(route: Route) = with(route) {
        get("/admin/settings") { allowed(call) { reply(call, page(path(call)).toJson()) } }
        get("/admin/settings/list") { allowed(call) { reply(call, list(path(call)).toJson()) } }
        get("/admin/settings/history") {
            allowed(call) {
                reply(call, parts.view().history(path(call)).map(::line).toJson())
            }
        }
        get("/admin/settings/changes/{id}") {
            allowed(call) { reply(call, fate(call.parameters["id"].orEmpty()).toJson()) }
        }
        post("/admin/settings/publish") { publishing(call) { publish(it, key(call)) } }
        post("/admin/settings/roll-forward") { publishing(call) { rollForward(it, key(call)) } }
    }

    private fun page(path: SettingsPath): SettingsPage {
        val v = parts.view()
        return SettingsPage(
            path = path,
            version = v.version,
            baseVersion = v.pathVersion(path),
            yaml = SettingsFile.render(v.documents(path), path)
        )
    }

    private fun list(path: SettingsPath): List<SettingsLine> {
        val v = parts.view()
        return v.documents(path).keys.map { SettingsLine(it, v.pathVersion(it)) }
    }

    private fun line(e: HistoryEntry) = HistoryLine(
        version = e.version,
        appendedAtMillis = e.appendedAtMillis,
        changeId = e.id.value,
        author = e.author,
        path = e.path,
        yaml = e.value?.let { SettingsFile.render(it, e.path) }
    )

    private suspend fun fate(id: String): FateReply =
        when (val r = parts.publisher.fate(ChangeId(id))) {
            is FateReport.Decided -> FateReply(r.fate)
            is FateReport.NotSeen -> FateReply(reason = "not in the log up to ${r.through}")
            is FateReport.LogUnavailable -> FateReply(reason = r.reason)
        }

    private suspend fun publish(body: String, key: KeyHash): PublishReply {
        val r = entryJson.decodeFromString<PublishRequest>(body)
        val documents = r.yaml?.let { text ->
            SettingsFile.parse(text, r.path, parts.view())
                .getOrElse { return PublishReply(PublishResult.MALFORMED, problems = it) }
        }
        val author = Author(r.author, key)
        return replyOf(parts.publisher.publish(author, r.path, documents, r.baseVersion))
    }

    private suspend fun rollForward(body: String, key: KeyHash): PublishReply {
        val r = entryJson.decodeFromString<RollForwardRequest>(body)
        val entry = earlierValue(parts.view().history(r.path), r.path, r.toVersion)
            ?: return PublishReply(
                PublishResult.MALFORMED,
                reason = "the history holds no change at or above ${r.path} at version " +
                    r.toVersion
            )
        val author = Author(r.author, key)
        return replyOf(parts.publisher.publish(author, r.path, entry.value, r.baseVersion))
    }

    private suspend fun replyOf(o: PublishOutcome): PublishReply = when (o) {
        is PublishOutcome.Accepted -> {
            if (!awaitShown(o.version) { parts.view().version }) {
                Logger.warn { "settings: change ${o.id} is accepted and not in force here yet" }
            }
            PublishReply(PublishResult.ACCEPTED, o.id.value, version = o.version)
        }

        is PublishOutcome.Rejected ->
            PublishReply(PublishResult.REJECTED, o.id.value, rejection = o.reason)

        is PublishOutcome.Undecided ->
            PublishReply(PublishResult.UNDECIDED, o.id.value, reason = o.reason)

        is PublishOutcome.NotAppended ->
            PublishReply(PublishResult.NOT_APPENDED, o.id.value, reason = reason(o.reason))
    }

    private fun reason(r: NotAppendedReason): String = when (r) {
        is NotAppendedReason.LogUnavailable -> "the log is not available: ${r.reason}"
        is NotAppendedReason.Refused -> "the log refused the record: ${r.reason}"
        is NotAppendedReason.TooLarge -> "${r.bytes} bytes exceed ${r.limitBytes}"
    }

    private suspend fun publishing(
        call: ApplicationCall,
        action: suspend (String) -> PublishReply
    ) {
        val reply = try {
            action(call.receiveText())
        } catch (e: SerializationException) {
            PublishReply(PublishResult.MALFORMED, reason = e.message.orEmpty())
        }
        Logger.info("entry: publish result=${reply.result} change=${reply.changeId}")
        val status = when (reply.result) {
            PublishResult.ACCEPTED -> HttpStatusCode.OK
            PublishResult.REJECTED -> HttpStatusCode.Conflict
            PublishResult.UNDECIDED -> HttpStatusCode.Accepted
            PublishResult.NOT_APPENDED -> HttpStatusCode.ServiceUnavailable
            PublishResult.MALFORMED -> HttpStatusCode.BadRequest
        }
        reply(call, reply.toJson(), status)
    }

    /** Runs [action] if the caller holds a team's key or the admin key, or if none is set. */
    private suspend fun allowed(call: ApplicationCall, action: suspend () -> Unit) {
        if (mayRead(key(call))) {
            action()
        } else {
            call.respondText("a team's key is required", status = HttpStatusCode.Unauthorized)
        }
    }

    private fun mayRead(key: KeyHash): Boolean {
        if (parts.adminKeyHash.isNotEmpty() && key.value == parts.adminKeyHash) return true
        val teams = parts.view().documents(SettingsPath("access")).values
            .mapNotNull { it as? io.greengageport.settings.AccessSettings }
        return teams.isEmpty() || teams.any { key in it.keyHashes }
    }

    private fun key(call: ApplicationCall): KeyHash = KeyHash.of(
        call.request.headers[HttpHeaders.Authorization]?.removePrefix("Bearer ").orEmpty()
    )

    private fun path(call: ApplicationCall): SettingsPath =
        SettingsPath(call.request.queryParameters["path"].orEmpty().trim('/'))

    private suspend fun reply(
        call: ApplicationCall,
        text: String,
        status: HttpStatusCode = HttpStatusCode.OK
    ) = call.respondText(text, ContentType.Application.Json, status)
}

/** What the change of [version], made at [path] or above it, left at the path. */
internal fun earlierValue(
    history: List<HistoryEntry>,
    path: SettingsPath,
    version: Long
): HistoryEntry? = history.lastOrNull { it.version == version && it.path.covers(path) }
    ?.let { e -> e.copy(value = e.value?.filterKeys { path.covers(it) }) }
