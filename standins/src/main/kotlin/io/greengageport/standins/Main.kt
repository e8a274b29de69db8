package io.greengageport.standins

import kotlin.system.exitProcess
import picocli.CommandLine
import picocli.CommandLine.Command

/** Test-only stand-ins for the systems that entry instances talk to. */
@Command(
    name = "greengageport-standins",
    description = ["Test-only stand-ins: platform, model engine, plain service."],
    mixinStandardHelpOptions = true,
    subcommands = [PlatformCommand::class, EngineCommand::class, PlainCommand::class]
)
internal class Standins

/** Runs a stand-in and exits with its status. */
public fun main(args: Array<String>) {
    exitProcess(CommandLine(Standins()).execute(*args))
}
