package io.greengageport.cli

import io.greengageport.entry.PublishRequest
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.encodeToString
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Publishes the content of a file at a path. */
@Command(
    name = "publish",
    description = ["Replaces the settings at or below a path with the content of a file."],
    mixinStandardHelpOptions = true
)
internal class PublishCommand : SettingsChangeCommand() {
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
        return send(PUBLISH, path) { p, base ->
            cliJson.encodeToString(PublishRequest(p, base, change.author, text))
        }
    }
}
