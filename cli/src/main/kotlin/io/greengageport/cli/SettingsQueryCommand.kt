package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import java.util.concurrent.Callable
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters

/** Base class of the commands that read settings by path. */
internal abstract class SettingsQueryCommand(private val endpoint: String) : Callable<Int> {
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
        val text = options.client().get(endpoint, "path" to path)
            .getOrElse { return reportError(it) }
        return if (print(text)) ExitCodes.OK else ExitCodes.NOT_FOUND
    }

    /** Prints the response [text]; returns false if it contains no settings. */
    protected abstract fun print(text: String): Boolean
}
