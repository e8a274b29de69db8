package io.greengageport.bench

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Measures the latency that one entry instance adds to an engine, and its cost per token. */
@Command(
    name = "latency",
    description = ["Measures added latency, tokens per CPU second and memory of one instance."],
    mixinStandardHelpOptions = true
)
internal class LatencyCommand : Callable<Int> {
    @Option(names = ["--fleet"], defaultValue = "bench/experiments/latency-fleet.yaml")
    lateinit var fleet: Path

    @Option(names = ["--rate"], defaultValue = "500", description = ["Requests per second."])
    var rate: Double = 0.0

    @Option(names = ["--slices"], defaultValue = "3", description = ["Slices of each kind."])
    var slices: Int = 0

    @Option(names = ["--slice-s"], defaultValue = "6", description = ["Seconds of a slice."])
    var sliceSeconds: Int = 0

    @Option(names = ["--seed"], defaultValue = "5")
    var seed: Long = 0

    @Option(names = ["--out"], required = true, paramLabel = "DIR")
    lateinit var directory: Path

    override fun call(): Int {
        val root = Path.of(System.getProperty("greengageport.root", "."))
        val parent = requireNotNull(fleet.toAbsolutePath().parent) {
            "the fleet file has no parent directory"
        }
        val result = LocalFleet(root, FleetFile.load(fleet), parent).use { f ->
            f.start()
            runBlocking { LatencyRun(f, rate, slices, sliceSeconds, seed).run() }
        }
        Files.createDirectories(directory)
        Files.writeString(directory.resolve("latency.json"), json.encodeToString(result))
        val text = result.toMarkdown()
        Files.writeString(directory.resolve("latency.md"), text)
        println(text)
        return 0
    }

    private companion object {
        val json = Json { prettyPrint = true }
    }
}
