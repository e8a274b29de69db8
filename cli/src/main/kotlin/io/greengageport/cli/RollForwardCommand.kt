package io.greengageport.cli

import io.greengageport.entry.RollForwardRequest
import kotlinx.serialization.encodeToString
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Publishes the value that an earlier change set at a path. */
@Command(
    name = "roll-forward",
    description = ["Publishes the value that an earlier version set at a path."],
    mixinStandardHelpOptions = true
)
internal class RollForwardCommand : SettingsChangeCommand() {
    @Parameters(index = "0", paramLabel = "PATH", description = ["Path, such as ranks/batch."])
    lateinit var path: String

    @Parameters(index = "1", paramLabel = "VERSION", description = ["Version from the history."])
    var version: Long = 0

    override fun call(): Int = send(ROLL_FORWARD, path) { p, base ->
        cliJson.encodeToString(RollForwardRequest(p, base, change.author, version))
    }
}
