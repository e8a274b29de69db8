package io.greengageport.standins

import kotlin.system.exitProcess
import picocli.CommandLine
import picocli.CommandLine.Command

/** Test-only stand-ins of what lies around the entry instances. */
@Command(
    name = "greengageport-standins",
    description = ["Test-only stand-ins: platform, model engine, plain service."],
    mixinStandardHelpOptions = true,
    subcommands = [PlatformCommand::class, EngineCommand::class, PlainCommand::class]
)
internal class Standins

/** Entry point of the program. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(Standins()).execute(*args))
}
