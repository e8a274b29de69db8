package io.greengageport.cli

import com.github.michaelbull.result.fold
import io.greengageport.settings.KeyHash
import io.greengageport.settings.RankSettings
import io.greengageport.settings.SettingsDocument
import io.greengageport.settings.SettingsFile
import io.greengageport.settings.SettingsPath
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Validates a settings file and reports all errors. */
@Command(
    name = "check",
    description = ["Validates a settings file and reports all errors with line and path."],
    mixinStandardHelpOptions = true
)
internal class CheckCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["Settings (YAML): a tree or a subtree."])
    lateinit var file: Path

    @Option(
        names = ["--path"],
        defaultValue = "",
        description = ["Path of the file's content (default: the root)."]
    )
    lateinit var path: String

    @Option(names = ["--json"], description = ["Prints JSON."])
    var isJson: Boolean = false

    override fun call(): Int {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            System.err.println(describe(file, e))
            return ExitCodes.BAD_FILE
        }
        return SettingsFile.parse(text, SettingsPath(path.trim('/'))).fold(
            success = {
                warningsFor(it).forEach { w -> System.err.println("$file: warning: $w") }
                if (isJson) println("[]") else println("$file: ${it.size} documents, no errors")
                ExitCodes.OK
            },
            failure = { problems ->
                if (isJson) printJson(problems) else problems.forEach { println("$file: $it") }
                ExitCodes.BAD_FILE
            }
        )
    }

    /** Returns warnings about values that have no effect. */
    private fun warningsFor(documents: Map<SettingsPath, SettingsDocument>): List<String> =
        documents.mapNotNull { (at, d) ->
            (d as? RankSettings)?.takeIf { it.weight != DEFAULT_RANK_WEIGHT }?.let {
                "$at weight: has no effect; priority and floorShare decide between ranks"
            }
        }

    private companion object {
        const val DEFAULT_RANK_WEIGHT = 1.0
    }
}

/** Prints the hash of a key from standard input, for use in `keyHashes`. */
@Command(
    name = "key-hash",
    description = ["Reads a key from standard input and prints its SHA-256 hash for keyHashes."],
    mixinStandardHelpOptions = true
)
internal class KeyHashCommand : Callable<Int> {
    override fun call(): Int {
        val key = readlnOrNull()?.trim().orEmpty()
        if (key.isEmpty()) {
            System.err.println("standard input contains no key")
            return ExitCodes.FAILED
        }
        println(KeyHash.of(key))
        return ExitCodes.OK
    }
}
