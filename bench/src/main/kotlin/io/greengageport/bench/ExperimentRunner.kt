package io.greengageport.bench

import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Runs the variants of an experiment one after the other, each on a fleet of its own. */
internal class ExperimentRunner(
    private val root: Path,
    private val fleetPath: Path,
    private val fleetFile: FleetFile,
    private val experiment: ExperimentFile,
    /** Where the output of the instances goes. */
    private val logs: Path,
    private val print: (String) -> Unit
) {
    fun run(): ExperimentResult {
        val arrivals = Arrivals.of(experiment.groups, experiment.durationSeconds, experiment.seed)
        val started = Instant.now().toString()
        val variants = experiment.variants.map { (name, policies) ->
            print("${experiment.name}: variant $name, ${arrivals.size} requests")
            variant(name, policies, arrivals)
        }
        return ExperimentResult(
            name = experiment.name,
            title = experiment.title,
            seed = experiment.seed,
            durationSeconds = experiment.durationSeconds,
            startedAt = started,
            events = marks(),
            variants = variants
        )
    }

    /** Events and the bounds of surges, which are events for the other callers. */
    private fun marks(): List<EventMark> {
        val surges = experiment.groups.flatMap { g ->
            g.surges.flatMap {
                listOf(
                    EventMark(it.fromSeconds, "surge of ${g.name} starts"),
                    EventMark(it.untilSeconds, "surge of ${g.name} ends")
                )
            }
        }
        return (experiment.events.map { EventMark(it.atSeconds, it.toString()) } + surges)
            .sortedBy { it.atSeconds }
    }

    private fun variant(
        name: String,
        policies: Map<String, String>,
        arrivals: List<Arrival>
    ): VariantResult {
        val file = fleetFile.copy(
            instances = fleetFile.instances.map { it.copy(policies = policies) }
        )
        val directory = requireNotNull(fleetPath.toAbsolutePath().parent) { "a file has a parent" }
        LocalFleet(root, file, directory).use { fleet ->
            fleet.start()
            val result = runBlocking { measure(name, policies, arrivals, fleet, file) }
            writeLogs(fleet, name)
            return result
        }
    }

    private suspend fun measure(
        name: String,
        policies: Map<String, String>,
        arrivals: List<Arrival>,
        fleet: LocalFleet,
        file: FleetFile
    ): VariantResult {
        val addresses = fleet.instances.map { fleet.callers(it) }
        LoadGenerator(addresses, System.nanoTime()).run(Warmup.arrivals(arrivals), LIMIT_MILLIS)
        val service = experiment.groups.first().service
        val watch = FleetWatch(fleet, file, service)
        watch.poll()
        val before = watch.tokensComputed
        val usedBefore = watch.engines()
        val loadBefore = loadAverage()
        val generator = LoadGenerator(addresses, System.nanoTime())
        val events = EventRunner(fleet, file, experiment, generator::now)
        val (results, used) = coroutineScope {
            val polling = watch.start(this)
            val running = events.start(this)
            // Without the time in which the last answers end.
            val sample = async {
                delay(experiment.durationSeconds * MILLIS_PER_SECOND)
                watch.engines()
            }
            val r = generator.run(arrivals, LIMIT_MILLIS)
            polling.cancel()
            running.cancel()
            r to sample.await()
        }
        // The engines end what was cancelled before their counters are read.
        delay(SETTLE_MILLIS)
        watch.poll()
        val s = Statistics(results, experiment.durationSeconds)
        val above = Demand(experiment.groups, experiment.durationSeconds).secondsAbove(watch.bound)
        return VariantResult(
            name = name,
            policies = policies,
            machine = Machine(
                Runtime.getRuntime().availableProcessors(),
                loadBefore,
                loadAverage(),
                watch.cpuShare
            ),
            rows = s.rows(),
            boundTokensPerSecond = watch.bound,
            tokensPerSecond = s.rows().sumOf { it.tokensPerSecond },
            tokensComputed = watch.tokensComputed - before,
            tokensReceived = s.tokensReceived(),
            failures = s.failures(),
            faults = s.faults(),
            orders = OrderCheck.of(results, effects(fleet, file)),
            recoveries = recoveries(s),
            seconds = s.seconds(),
            overloaded = above.takeIf { it.isNotEmpty() }
                ?.let { OverloadedPart(it.size, s.tokensPerSecond(it)) },
            engines = EngineUse.between(usedBefore, used, file.engines),
            enginesLost = events.enginesLost,
            problems = events.problems.toList() + internalErrors(fleet)
        )
    }

    private fun recoveries(s: Statistics): List<RecoveryTime> {
        val marks = marks()
        return marks.flatMap { m ->
            val next = marks.firstOrNull { it.atSeconds > m.atSeconds }?.atSeconds
            s.recovery(m.what, m.atSeconds, next ?: experiment.durationSeconds.toDouble())
        }
    }

    private fun effects(fleet: LocalFleet, file: FleetFile): List<String> =
        file.plain.filter { fleet.process(it.id).isAlive }.flatMap { p ->
            val body = fleet.get("http://${fleet.process(p.id).address}/effects").body()
            Json.parseToJsonElement(body).jsonArray.map {
                it.jsonObject["key"]?.jsonPrimitive?.content.orEmpty()
            }
        }

    /** Lines of the instances that tell of a fault of the program. */
    private fun internalErrors(fleet: LocalFleet): List<String> = fleet.instances.flatMap { i ->
        fleet.process(i).output.filter { "ERROR" in it || "OutOfMemory" in it }
            .take(MAX_LINES).map { "$i: $it" }
    }

    private fun writeLogs(fleet: LocalFleet, variant: String) {
        Files.createDirectories(logs)
        for (i in fleet.instances) {
            val file = logs.resolve("${experiment.name}-$variant-$i.log")
            Files.write(file, fleet.process(i).output)
        }
    }

    private fun loadAverage() = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

    private companion object {
        /** An answer that takes longer than this counts as a hang. */
        const val LIMIT_MILLIS = 60_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val SETTLE_MILLIS = 500L
        const val MAX_LINES = 5
    }
}
