package io.greengageport.bench

import picocli.CommandLine.Command

/** Measures the cost of control by size with the real programs; `docs/CAPACITY.md` uses it. */
@Command(
    name = "slope",
    description = ["Measures the cost of control by size and fits a line through it."],
    mixinStandardHelpOptions = true,
    subcommands = [
        SlopeInstances::class, SlopeRunners::class, SlopeSettings::class, SlopeOrders::class
    ]
)
internal class SlopeCommand
