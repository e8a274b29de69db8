package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.FateReply
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters

/** Prints the fate of a change. */
@Command(
    name = "fate",
    description = ["Shows whether a change was accepted, rejected or withdrawn."],
    mixinStandardHelpOptions = true
)
internal class FateCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(paramLabel = "CHANGE-ID", description = ["Id printed by a publish."])
    lateinit var id: String

    override fun call(): Int {
        val text = options.client().get("/admin/settings/changes/${urlEncoded(id)}")
            .getOrElse { return reportError(it) }
        val r = cliJson.decodeFromString<FateReply>(text)
        if (options.isJson) {
            printJson(r)
        } else {
            println(r.fate?.let(::describe) ?: "unknown: ${r.reason}")
        }
        return if (r.fate == null) ExitCodes.UNDECIDED else ExitCodes.OK
    }
}
