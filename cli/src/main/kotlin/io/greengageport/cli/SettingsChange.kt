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

/** What the commands that change settings have in common. */
internal abstract class SettingsChange : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Mixin
    lateinit var change: ChangeOptions

    /** Sends the body that [body] makes of path and base version, and prints the result. */
    protected fun send(endpoint: String, path: String, body: (SettingsPath, Long) -> String): Int {
        val client = options.client()
        val base = change.baseVersion(client, path).getOrElse { return report(it) }
        val reply = client.post(endpoint, body(SettingsPath(path.trim('/')), base))
            .getOrElse { return report(it) }
        return conclude(reply, options.json)
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
