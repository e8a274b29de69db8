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

/** The collaborators of [AdminServer]. */
internal class AdminDependencies(
    val view: () -> SettingsView,
    val publisher: SettingsPublisher,
    val decisions: DecisionLog,
    val metrics: EntryMetrics,
    val status: () -> InstanceStatus,
    val drain: () -> Unit,
    val adminKeyHash: String
)

/** The HTTP API for operators: health, metrics, status, settings, drain and decisions. */
internal class AdminServer(private val deps: AdminDependencies) {
    /** Adds the routes of the API to [route]. */
    fun routes(route: Route): Unit = with(route) {
        get("/healthz") { call.respondText("ok") }
        get("/readyz") {
            val s = deps.status()
            if (s.ready) {
                call.respondText("ready")
            } else {
                val reasons = s.notReadyBecause.joinToString()
                call.respondText(reasons, status = HttpStatusCode.ServiceUnavailable)
            }
        }
        get("/metrics") { call.respondText(deps.metrics.page(), ContentType.Text.Plain) }
        get("/admin/status") { authorise(call) { reply(call, deps.status().toJson()) } }
        get("/admin/decisions/{id}") {
            authorise(call) {
                val id = RequestId(call.parameters["id"].orEmpty())
                reply(call, deps.decisions.of(id).toJson())
            }
        }
        post("/admin/drain") {
            authorise(call) {
                deps.drain()
                reply(call, "{}")
            }
        }
        settingsRoutes(this)
    }

    private fun settingsRoutes(route: Route) = with(route) {
        get("/admin/settings") {
            authorise(call) { reply(call, settingsPage(path(call)).toJson()) }
        }
        get("/admin/settings/list") {
            authorise(call) { reply(call, settingsLines(path(call)).toJson()) }
        }
        get("/admin/settings/history") {
            authorise(call) {
                reply(call, deps.view().history(path(call)).map(::historyLine).toJson())
            }
        }
        get("/admin/settings/changes/{id}") {
            authorise(call) { reply(call, fate(call.parameters["id"].orEmpty()).toJson()) }
        }
        post("/admin/settings/publish") { respondToPublish(call) { publish(it, key(call)) } }
        post("/admin/settings/roll-forward") {
            respondToPublish(call) { rollForward(it, key(call)) }
        }
    }

    private fun settingsPage(path: SettingsPath): SettingsPage {
        val v = deps.view()
        return SettingsPage(
            path = path,
            version = v.version,
            baseVersion = v.pathVersion(path),
            yaml = SettingsFile.render(v.documents(path), path)
        )
    }

    private fun settingsLines(path: SettingsPath): List<SettingsLine> {
        val v = deps.view()
        return v.documents(path).keys.map { SettingsLine(it, v.pathVersion(it)) }
    }

    private fun historyLine(e: HistoryEntry) = HistoryLine(
        version = e.version,
        appendedAtMillis = e.appendedAtMillis,
        changeId = e.id.value,
        author = e.author,
        path = e.path,
        yaml = e.value?.let { SettingsFile.render(it, e.path) }
    )

    private suspend fun fate(id: String): FateReply =
        when (val r = deps.publisher.fate(ChangeId(id))) {
            is FateReport.Decided -> FateReply(r.fate)
            is FateReport.NotSeen -> FateReply(reason = "not in the log up to ${r.lastOffset}")
            is FateReport.LogUnavailable -> FateReply(reason = r.reason)
        }

    private suspend fun publish(body: String, key: KeyHash): PublishReply {
        val r = entryJson.decodeFromString<PublishRequest>(body)
        val documents = r.yaml?.let { text ->
            SettingsFile.parse(text, r.path, deps.view())
                .getOrElse { return PublishReply(PublishResult.MALFORMED, problems = it) }
        }
        val author = Author(r.author, key)
        return toReply(deps.publisher.publish(author, r.path, documents, r.baseVersion))
    }

    /** Publishes again the value that an earlier change gave to a path. */
    private suspend fun rollForward(body: String, key: KeyHash): PublishReply {
        val r = entryJson.decodeFromString<RollForwardRequest>(body)
        val entry = valueAtVersion(deps.view().history(r.path), r.path, r.toVersion)
            ?: return PublishReply(
                PublishResult.MALFORMED,
                reason = "the history holds no change at or above ${r.path} at version " +
                    r.toVersion
            )
        val author = Author(r.author, key)
        return toReply(deps.publisher.publish(author, r.path, entry.value, r.baseVersion))
    }

    private suspend fun toReply(o: PublishOutcome): PublishReply = when (o) {
        is PublishOutcome.Accepted -> {
            if (!awaitVersion(o.version) { deps.view().version }) {
                Logger.warn { "settings: change ${o.id} is accepted, but not yet in force here" }
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

    /**
     * Runs [action] on the body of the request and responds with its reply. A body that cannot be
     * decoded is reported as malformed.
     */
    private suspend fun respondToPublish(
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

    /**
     * Runs [action] if the request has a team's key or the admin key, or if the settings define no
     * team.
     */
    private suspend fun authorise(call: ApplicationCall, action: suspend () -> Unit) {
        if (isAuthorised(key(call))) {
            action()
        } else {
            call.respondText("a team's key is required", status = HttpStatusCode.Unauthorized)
        }
    }

    private fun isAuthorised(key: KeyHash): Boolean {
        if (deps.adminKeyHash.isNotEmpty() && key.value == deps.adminKeyHash) return true
        val teams = deps.view().documents(SettingsPath("access")).values
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

/**
 * Returns the change with [version], its value restricted to [path], or null if [history] has no
 * such change at [path] or above it.
 */
internal fun valueAtVersion(
    history: List<HistoryEntry>,
    path: SettingsPath,
    version: Long
): HistoryEntry? = history.lastOrNull { it.version == version && it.path.covers(path) }
    ?.let { e -> e.copy(value = e.value?.filterKeys { path.covers(it) }) }
