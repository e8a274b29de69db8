package io.greengageport.cli

import picocli.CommandLine.Command

/** Parent of the commands that read and change settings. */
@Command(
    name = "settings",
    description = ["Publishes and reads settings by path."],
    mixinStandardHelpOptions = true,
    subcommands = [
        ReadCommand::class,
        ListCommand::class,
        HistoryCommand::class,
        PublishCommand::class,
        RemoveCommand::class,
        RollForwardCommand::class,
        FateCommand::class
    ]
)
internal class SettingsCommand
