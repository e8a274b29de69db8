package io.greengageport.cli

import io.greengageport.entry.SettingsLine
import picocli.CommandLine.Command

/** Lists the documents at or below a path with their versions. */
@Command(
    name = "list",
    description = ["Lists the documents at or below a path with their versions."],
    mixinStandardHelpOptions = true
)
internal class ListCommand : SettingsQueryCommand("/admin/settings/list") {
    override fun print(text: String): Boolean {
        val lines = cliJson.decodeFromString<List<SettingsLine>>(text)
        if (options.isJson) {
            printJson(lines)
        } else {
            lines.forEach { println("${it.version}\t${it.path}") }
        }
        return lines.isNotEmpty()
    }
}
