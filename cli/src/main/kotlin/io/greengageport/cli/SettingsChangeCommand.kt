package io.greengageport.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.SettingsPage
import io.greengageport.settings.SettingsPath
import java.util.concurrent.Callable
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/** Base class of the commands that change settings. */
internal abstract class SettingsChangeCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Mixin
    lateinit var change: ChangeOptions

    /** Posts the body created from path and base version, and prints the result. */
    protected fun send(endpoint: String, path: String, body: (SettingsPath, Long) -> String): Int {
        val client = options.client()
        val base = change.baseVersion(client, path).getOrElse { return reportError(it) }
        val reply = client.post(endpoint, body(SettingsPath(path.trim('/')), base))
            .getOrElse { return reportError(it) }
        return printPublishResult(reply, options.isJson)
    }

    protected companion object {
        const val PUBLISH = "/admin/settings/publish"
        const val ROLL_FORWARD = "/admin/settings/roll-forward"
    }
}

/** Options of all commands that change settings. */
internal class ChangeOptions {
    @Option(
        names = ["--base"],
        description = ["Version that the change is based on (default: the current one)."]
    )
    var base: Long? = null

    @Option(
        names = ["--author"],
        description = ["Author name in the history (default: \${DEFAULT-VALUE})."],
        defaultValue = "\${sys:user.name}"
    )
    lateinit var author: String

    /** Returns the base version given on the command line, or the current one of [path]. */
    fun baseVersion(client: AdminClient, path: String): Result<Long, AdminError> {
        base?.let { return Ok(it) }
        val text = client.get("/admin/settings", "path" to path)
            .getOrElse { return Err(it) }
        return Ok(
            cliJson.decodeFromString<SettingsPage>(text).baseVersion
        )
    }
}
