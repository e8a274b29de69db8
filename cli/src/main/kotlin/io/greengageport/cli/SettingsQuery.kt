package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import java.util.concurrent.Callable
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters

/** What the commands that read settings by path have in common. */
internal abstract class SettingsQuery(private val endpoint: String) : Callable<Int> {
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
        val text = options.client().get(endpoint, "path" to path).getOrElse { return report(it) }
        return if (print(text)) ExitCodes.OK else ExitCodes.NOT_FOUND
    }

    /** Prints the answer [text]; false if it holds nothing. */
    protected abstract fun print(text: String): Boolean
}
