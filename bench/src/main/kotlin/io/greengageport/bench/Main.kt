package io.greengageport.bench

import kotlin.system.exitProcess
import picocli.CommandLine
import picocli.CommandLine.Command

/** Test-only tool that runs the packaged programs against stand-ins on loopback. */
@Command(
    name = "greengageport-bench",
    description = ["Test-only tool: demo, load and experiments on loopback."],
    mixinStandardHelpOptions = true,
    subcommands = [
        DemoCommand::class,
        ExperimentCommand::class,
        LatencyCommand::class,
        SlopeCommand::class
    ]
)
internal class BenchCommand

public fun main(args: Array<String>) {
    exitProcess(CommandLine(BenchCommand()).execute(*args))
}
