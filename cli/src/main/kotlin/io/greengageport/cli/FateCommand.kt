package io.greengageport.cli

import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.FateReply
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters

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
