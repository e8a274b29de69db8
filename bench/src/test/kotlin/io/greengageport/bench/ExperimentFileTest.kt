package io.greengageport.bench

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import java.nio.file.Files
import java.nio.file.Path
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against an experiment file with a mistake that runs and measures something else. */
class ExperimentFileTest {
    private val group = "{ name: help, keys: [a], rank: urgent, rate: 5 }"

    private fun parse(text: String) = ExperimentFile.parse("x.yaml", text)

    private fun problems(text: String): List<String> = parse(text).fold({ emptyList() }, {
        (it as? ExperimentError.Invalid)?.problems
            ?: listOf("$it")
    })

    @Test
    fun `a minimal file gets the defaults`() {
        val f = parse("{ name: steady, groups: [$group] }").getOrElse { error("$it") }
        expectThat(f.variants.keys.toList()).isEqualTo(listOf("naive", "chosen"))
        expectThat(f.fleet).isEqualTo("fleet.yaml")
    }

    @Test
    fun `an error in the YAML structure names the line`() {
        val e = parse("name: x\ngroups:\n  - { nam: help }\n").fold({ null }, { it })
        expectThat(e).isA<ExperimentError.Malformed>().get { line }.isEqualTo(3)
    }

    @Test
    fun `a file that does not exist is unreadable`() {
        val e = ExperimentFile.load(Path.of("no-such-file.yaml")).fold({ null }, { it })
        expectThat(e).isA<ExperimentError.Unreadable>()
    }

    @Nested
    inner class `invalid values are reported` {
        @Test
        fun `all at once`() {
            val text = "{ name: 'A b', duration_s: 0, groups: [$group, $group] }"
            expectThat(problems(text)).isEqualTo(
                listOf(
                    "name 'A b' contains characters other than a-z, 0-9 and -",
                    "duration_s is 0, not 1 to 600",
                    "duplicate group 'help'"
                )
            )
        }

        @Test
        fun `for groups`() {
            val g = "{ name: g, keys: [], rank: r, rate: -1, tokens: 0, attempts: 0, surges: " +
                "[{ from_s: 5, until_s: 5, rate: 1 }, { from_s: 4, until_s: 6, rate: 9000 }] }"
            expectThat(problems("{ name: x, groups: [$g] }")).isEqualTo(
                listOf(
                    "group g: keys is empty, at least 1 is needed",
                    "group g: rate is -1.0, not 0 to 5000.0",
                    "group g: tokens is 0, at least 1 is needed",
                    "group g: attempts is 0, at least 1 is needed",
                    "group g: a surge from 5.0 s until 5.0 s is empty",
                    "group g: a surge's rate is 9000.0, not 0 to 5000.0",
                    "group g: surges overlap"
                )
            )
        }

        @Test
        fun `for events`() {
            val events = "[{ at_s: 30, kill: a }, { at_s: 1 }, { at_s: 2, kill: a, thaw: b }, " +
                "{ at_s: 3, control: { on: [a], body: 'x' } }]"
            val text = "{ name: x, duration_s: 20, groups: [$group], events: $events }"
            expectThat(problems(text)).isEqualTo(
                listOf(
                    "event at 30.0 s: is outside 0 to 20 s",
                    "event at 1.0 s: has 0 actions, not 1",
                    "event at 2.0 s: has 2 actions, not 1",
                    "event at 3.0 s: control body is not a JSON object: x"
                )
            )
        }

        @Test
        fun `for variants`() {
            val v = "{ a: { planer: shortest }, b: { queue: lifo } }"
            expectThat(problems("{ name: x, groups: [$group], variants: $v }")).isEqualTo(
                listOf(
                    "variant a: no policy is named 'planer'",
                    "variant b: queue is 'lifo', not one of [fair, fifo]"
                )
            )
        }

        @Test
        fun `for processes and services that the fleet does not have`() {
            val f = parse("{ name: x, groups: [$group], events: [{ at_s: 1, kill: nobody }] }")
                .getOrElse { error("$it") }
            val fleet = FleetFile(settings = "s", instances = listOf(InstanceSpec("entry-1")))
            val e = ExperimentChecks.checkTargets("x.yaml", f, fleet).fold({ null }, { it })
            expectThat(e).isEqualTo(
                ExperimentError.Invalid(
                    "x.yaml",
                    listOf(
                        "the fleet has no process 'nobody'",
                        "group help: the fleet has no service 'packing-line'"
                    )
                )
            )
        }
    }

    /** Guards against an experiment file in the repository that no longer parses. */
    @Test
    fun `the experiments of the repository are valid`() {
        val root = Path.of(System.getProperty("greengageport.root"), "bench/experiments")
        val fleet = FleetFile.load(root.resolve("fleet.yaml"))
        val files = Files.list(root).use { all -> all.toList() }
            .filter { "fleet" !in it.fileName.toString() && "settings" !in it.fileName.toString() }
        expectThat(files.size).isGreaterThan(10)
        val errors = files.mapNotNull { p ->
            ExperimentFile.load(p).fold(
                { f -> ExperimentChecks.checkTargets("$p", f, fleet).fold({ null }, { it }) },
                { it }
            )
        }
        expectThat(errors).isEmpty()
    }
}
