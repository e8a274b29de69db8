package io.greengageport.cli

import io.greengageport.entry.PublishRequest
import kotlinx.serialization.encodeToString
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Removes all documents at or below a path. */
@Command(
    name = "remove",
    description = ["Removes all settings at or below a path."],
    mixinStandardHelpOptions = true
)
internal class RemoveCommand : SettingsChangeCommand() {
    @Parameters(paramLabel = "PATH", description = ["Path, such as services/parts."])
    lateinit var path: String

    override fun call(): Int = send(PUBLISH, path) { p, base ->
        cliJson.encodeToString(PublishRequest(p, base, change.author, yaml = null))
    }
}
