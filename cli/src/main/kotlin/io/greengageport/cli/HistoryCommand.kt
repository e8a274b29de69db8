package io.greengageport.cli

import io.greengageport.entry.HistoryLine
import java.time.Instant
import picocli.CommandLine.Command

/** Prints the stored changes of a path. */
@Command(
    name = "history",
    description = ["Prints the stored changes at, above and below a path, oldest first."],
    mixinStandardHelpOptions = true
)
internal class HistoryCommand : SettingsQueryCommand("/admin/settings/history") {
    override fun print(text: String): Boolean {
        val lines = cliJson.decodeFromString<List<HistoryLine>>(text)
        if (options.isJson) {
            printJson(lines)
        } else {
            lines.forEach { println(describe(it)) }
        }
        return lines.isNotEmpty()
    }

    private fun describe(l: HistoryLine): String {
        val at = Instant.ofEpochMilli(l.appendedAtMillis)
        val what = if (l.yaml == null) "removed" else "set"
        return "${l.version}\t$at\t${l.author}\t$what\t${l.path}"
    }
}
