package io.greengageport.bench

import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

/** Runs a local fleet on one machine, sends requests through it and checks every answer. */
@Command(
    name = "demo",
    description = ["Starts a local fleet, sends a few requests, checks the answers and stops."],
    mixinStandardHelpOptions = true
)
internal class DemoCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["Fleet file, for example examples/demo."])
    lateinit var file: Path

    override fun call(): Int {
        val root = Path.of(System.getProperty("greengageport.root", "."))
        val fleet = LocalFleet(root, FleetFile.load(file), file.toAbsolutePath().parent)
        return fleet.use { Demo(it).run() }
    }
}
