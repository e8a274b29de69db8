package io.greengageport.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.FateReply
import io.greengageport.entry.HistoryLine
import io.greengageport.entry.PublishReply
import io.greengageport.entry.PublishRequest
import io.greengageport.entry.PublishResult
import io.greengageport.entry.RollForwardRequest
import io.greengageport.entry.SettingsLine
import io.greengageport.entry.SettingsPage
import io.greengageport.settings.Fate
import io.greengageport.settings.Rejection
import io.greengageport.settings.SettingsPath
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.Callable
import kotlinx.serialization.encodeToString
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** The commands on settings. */
@Command(
    name = "settings",
    description = ["Publishes and reads settings by path."],
    mixinStandardHelpOptions = true,
    subcommands = [
        ReadCommand::class,
        ListCommand::class,
        HistoryCommand::class,
        PublishCommand::class,
        RemoveCommand::class,
        RollForwardCommand::class,
        FateCommand::class
    ]
)
internal class SettingsCommand

/** Prints the documents at or below a path. */
@Command(name = "read", description = ["Prints settings as YAML."], mixinStandardHelpOptions = true)
internal class ReadCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(
        paramLabel = "PATH",
        defaultValue = "",
        arity = "0..1",
        description = ["Path (default: the whole tree)."]
    )
    lateinit var path: String

    override fun call(): Int {
        val text = options.client().get("/admin/settings", "path" to path)
            .getOrElse { return report(it) }
        val page = cliJson.decodeFromString<SettingsPage>(text)
        if (options.json) {
            printJson(page)
        } else {
            println("# path: ${page.path}, base version: ${page.baseVersion}")
            println(page.yaml)
        }
        return if (page.yaml.isBlank()) ExitCodes.NOT_FOUND else ExitCodes.OK
    }
}

/** Lists the paths below a path with their versions. */
@Command(
    name = "list",
    description = ["Lists the documents at or below a path with their versions."],
    mixinStandardHelpOptions = true
)
internal class ListCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(
        paramLabel = "PATH",
        defaultValue = "",
        arity = "0..1",
        description = ["Path (default: the whole tree)."]
    )
    lateinit var path: String

    override fun call(): Int {
        val text = options.client().get("/admin/settings/list", "path" to path)
            .getOrElse { return report(it) }
        val lines = cliJson.decodeFromString<List<SettingsLine>>(text)
        if (options.json) {
            printJson(lines)
        } else {
            lines.forEach {
                println("${it.version}\t${it.path}")
            }
        }
        return if (lines.isEmpty()) ExitCodes.NOT_FOUND else ExitCodes.OK
    }
}

/** Prints the remembered changes of a path. */
@Command(
    name = "history",
    description = ["Prints the remembered changes at, above and below a path, oldest first."],
    mixinStandardHelpOptions = true
)
internal class HistoryCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(
        paramLabel = "PATH",
        defaultValue = "",
        arity = "0..1",
        description = ["Path (default: the whole tree)."]
    )
    lateinit var path: String

    override fun call(): Int {
        val text = options.client().get("/admin/settings/history", "path" to path)
            .getOrElse { return report(it) }
        val lines = cliJson.decodeFromString<List<HistoryLine>>(text)
        if (options.json) {
            printJson(lines)
        } else {
            for (l in lines) {
                val at = Instant.ofEpochMilli(l.appendedAtMillis)
                val what = if (l.yaml == null) "removed" else "set"
                println("${l.version}\t$at\t${l.author}\t$what\t${l.path}")
            }
        }
        return if (lines.isEmpty()) ExitCodes.NOT_FOUND else ExitCodes.OK
    }
}

/** Options of all commands that change settings. */
internal class ChangeOptions {
    @Option(
        names = ["--base"],
        description = ["Version that the change is based on (default: the present one)."]
    )
    var base: Long? = null

    @Option(
        names = ["--author"],
        description = ["Name for the history (default: \${DEFAULT-VALUE})."],
        defaultValue = "\${sys:user.name}"
    )
    lateinit var author: String

    /** The given base version, or the present one of [path]. */
    fun baseVersion(client: AdminClient, path: String): Result<Long, AdminError> {
        base?.let { return Ok(it) }
        val text = client.get("/admin/settings", "path" to path)
            .getOrElse { return Err(it) }
        return Ok(
            cliJson.decodeFromString<SettingsPage>(text).baseVersion
        )
    }
}

/** Publishes a file at a path. */
@Command(
    name = "publish",
    description = ["Replaces what lies at or below a path by the content of a file."],
    mixinStandardHelpOptions = true
)
internal class PublishCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Mixin
    lateinit var change: ChangeOptions

    @Parameters(index = "0", paramLabel = "PATH", description = ["Path; '/' for the whole tree."])
    lateinit var path: String

    @Parameters(index = "1", paramLabel = "FILE", description = ["Settings (YAML)."])
    lateinit var file: Path

    override fun call(): Int {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            System.err.println(describe(file, e))
            return ExitCodes.BAD_FILE
        }
        val client = options.client()
        val base = change.baseVersion(client, path).getOrElse { return report(it) }
        val r = PublishRequest(SettingsPath(path.trim('/')), base, change.author, text)
        val reply = client.post("/admin/settings/publish", cliJson.encodeToString(r))
            .getOrElse { return report(it) }
        return conclude(reply, options.json)
    }
}

/** Removes what lies at or below a path. */
@Command(
    name = "remove",
    description = ["Removes a path with all that lies below it."],
    mixinStandardHelpOptions = true
)
internal class RemoveCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Mixin
    lateinit var change: ChangeOptions

    @Parameters(paramLabel = "PATH", description = ["Path, such as services/parts."])
    lateinit var path: String

    override fun call(): Int {
        val client = options.client()
        val base = change.baseVersion(client, path).getOrElse { return report(it) }
        val r = PublishRequest(SettingsPath(path.trim('/')), base, change.author, yaml = null)
        val reply = client.post("/admin/settings/publish", cliJson.encodeToString(r))
            .getOrElse { return report(it) }
        return conclude(reply, options.json)
    }
}

/** Publishes the value that an earlier change gave to a path. */
@Command(
    name = "roll-forward",
    description = ["Publishes anew what an earlier version set at a path."],
    mixinStandardHelpOptions = true
)
internal class RollForwardCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Mixin
    lateinit var change: ChangeOptions

    @Parameters(index = "0", paramLabel = "PATH", description = ["Path, such as ranks/batch."])
    lateinit var path: String

    @Parameters(index = "1", paramLabel = "VERSION", description = ["Version from the history."])
    var version: Long = 0

    override fun call(): Int {
        val client = options.client()
        val base = change.baseVersion(client, path).getOrElse { return report(it) }
        val r = RollForwardRequest(SettingsPath(path.trim('/')), base, change.author, version)
        val reply = client.post("/admin/settings/roll-forward", cliJson.encodeToString(r))
            .getOrElse { return report(it) }
        return conclude(reply, options.json)
    }
}

/** Tells what became of a change. */
@Command(
    name = "fate",
    description = ["Tells what became of a change."],
    mixinStandardHelpOptions = true
)
internal class FateCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(paramLabel = "CHANGE-ID", description = ["Id that a publish printed."])
    lateinit var id: String

    override fun call(): Int {
        val text = options.client().get("/admin/settings/changes/${encoded(id)}")
            .getOrElse { return report(it) }
        val r = cliJson.decodeFromString<FateReply>(text)
        if (options.json) {
            printJson(r)
        } else {
            println(r.fate?.let(::describe) ?: "not known: ${r.reason}")
        }
        return if (r.fate == null) ExitCodes.UNDECIDED else ExitCodes.OK
    }
}

/** Prints the result of a publish and returns its exit code. */
private fun conclude(text: String, json: Boolean): Int {
    val r = cliJson.decodeFromString<PublishReply>(text)
    if (json) printJson(r) else println(describe(r))
    return when (r.result) {
        PublishResult.ACCEPTED -> ExitCodes.OK
        PublishResult.REJECTED -> ExitCodes.REJECTED
        PublishResult.UNDECIDED -> ExitCodes.UNDECIDED
        PublishResult.NOT_APPENDED -> ExitCodes.NOT_PUBLISHED
        PublishResult.MALFORMED -> ExitCodes.BAD_FILE
    }
}

private fun describe(r: PublishReply): String = when (r.result) {
    PublishResult.ACCEPTED -> "accepted as version ${r.version}"

    PublishResult.REJECTED -> "rejected: ${r.rejection?.let(::describe)}"

    PublishResult.UNDECIDED ->
        "not decided yet: ${r.reason}; ask with 'settings fate ${r.changeId}'"

    PublishResult.NOT_APPENDED -> "nothing was published: ${r.reason}"

    PublishResult.MALFORMED -> (r.problems.map { it.toString() } + r.reason).joinToString("\n")
}

private fun describe(f: Fate): String = when (f) {
    is Fate.Accepted -> "accepted as version ${f.version}"
    is Fate.Rejected -> "rejected: ${describe(f.reason)}"
    is Fate.Withdrawn -> "withdrawn at ${f.offset}; it never takes effect"
}

private fun describe(r: Rejection): String = when (r) {
    is Rejection.Duplicate -> "the change was decided before, at version ${r.offset}"

    is Rejection.Withdrawn -> "the change was withdrawn at ${r.offset}"

    is Rejection.TooOld -> "the change is based on ${r.knownOffset}, before ${r.horizon}"

    is Rejection.NotGranted -> "the key of '${r.author}' may not write ${r.path}"

    is Rejection.InvalidPath -> "no settings can lie at ${r.path}"

    is Rejection.Conflict ->
        "${r.path} is at version ${r.version}, not ${r.baseVersion}" +
            (r.winner?.let { "; set by '${it.author}' with change ${it.id} at ${it.path}" } ?: "")

    is Rejection.Invalid -> r.problems.joinToString("\n")
}
