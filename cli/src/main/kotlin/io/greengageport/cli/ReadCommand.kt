package io.greengageport.cli

import io.greengageport.entry.SettingsPage
import picocli.CommandLine.Command

/** Prints the documents at or below a path. */
@Command(name = "read", description = ["Prints settings as YAML."], mixinStandardHelpOptions = true)
internal class ReadCommand : SettingsQueryCommand("/admin/settings") {
    override fun print(text: String): Boolean {
        val page = cliJson.decodeFromString<SettingsPage>(text)
        if (options.isJson) {
            printJson(page)
        } else {
            println("# path: ${page.path}, base version: ${page.baseVersion}")
            println(page.yaml)
        }
        return page.yaml.isNotBlank()
    }
}
