package io.greengageport.bench

import picocli.CommandLine.Command

/** Measures the control overhead by size with the packaged programs, for `docs/CAPACITY.md`. */
@Command(
    name = "slope",
    description = ["Measures the control overhead by size and fits a line through it."],
    mixinStandardHelpOptions = true,
    subcommands = [
        SlopeInstances::class, SlopeRunners::class, SlopeSettings::class, SlopeOrders::class
    ]
)
internal class SlopeCommand
