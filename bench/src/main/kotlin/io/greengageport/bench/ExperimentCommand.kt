package io.greengageport.bench

import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Runs experiments and writes a Markdown table, a JSON file and a plot for each. */
@Command(
    name = "experiment",
    description = ["Runs experiments on local fleets, all variants with the same arrivals."],
    mixinStandardHelpOptions = true
)
internal class ExperimentCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", arity = "1..*", description = ["Experiment files."])
    lateinit var files: List<Path>

    @Option(
        names = ["--out"],
        required = true,
        paramLabel = "DIR",
        description = ["Directory for the results."]
    )
    lateinit var directory: Path

    @Option(names = ["--seed"], description = ["Overrides the seed of the files."])
    var seed: Long? = null

    @Option(names = ["--duration-s"], description = ["Overrides the duration of the files."])
    var durationSeconds: Int? = null

    private class PreparedExperiment(
        val experiment: ExperimentFile,
        val path: Path,
        val fleet: FleetFile
    )

    override fun call(): Int {
        val prepared = files.map { prepare(it) }
        val errors = prepared.mapNotNull { p -> p.fold({ null }, { it }) }
        errors.forEach { System.err.println("experiment: $it") }
        if (errors.isNotEmpty()) return EXIT_INVALID_INPUT
        Files.createDirectories(directory)
        val runs = prepared.mapNotNull { p -> p.fold({ it }, { null }) }
        return if (runs.map { runExperiment(it) }.all { it }) 0 else EXIT_FAULTS_FOUND
    }

    private fun prepare(file: Path): Result<PreparedExperiment, ExperimentError> =
        ExperimentFile.load(file).andThen { e ->
            val changed = e.copy(
                seed = seed ?: e.seed,
                durationSeconds = durationSeconds ?: e.durationSeconds
            )
            val path = file.toAbsolutePath().resolveSibling(e.fleet)
            loadFleet(path).andThen { fleet ->
                ExperimentChecks.check(file.toString(), changed)
                    .andThen { ExperimentChecks.checkTargets(file.toString(), it, fleet) }
                    .map { PreparedExperiment(it, path, fleet) }
            }
        }

    private fun loadFleet(path: Path): Result<FleetFile, ExperimentError> = try {
        Ok(FleetFile.load(path))
    } catch (e: YamlException) {
        Err(ExperimentError.Malformed(path.toString(), e.line, e.message))
    } catch (e: IOException) {
        Err(ExperimentError.Unreadable(path.toString(), e.toString()))
    }

    /** Runs [p] and writes its results; returns whether all invariants held. */
    private fun runExperiment(p: PreparedExperiment): Boolean {
        val root = Path.of(System.getProperty("greengageport.root", "."))
        val result = ExperimentRunner(
            root,
            p.path,
            p.fleet,
            p.experiment,
            directory.resolve("logs"),
            ::println
        ).run()
        val text = MarkdownReport.render(result)
        writeResult("${result.name}.md", text)
        writeResult("${result.name}.json", json.encodeToString(result))
        writeResult("${result.name}.svg", SvgPlot(result).render())
        println(text)
        return result.variants.all { v ->
            v.faults.isEmpty() && v.orders.ranTwice == 0 && v.orders.wronglyNotRun == 0
        }
    }

    private fun writeResult(name: String, text: String) {
        Files.writeString(directory.resolve(name), text)
    }

    private companion object {
        const val EXIT_INVALID_INPUT = 2
        const val EXIT_FAULTS_FOUND = 1
        val json = Json { prettyPrint = true }
    }
}
