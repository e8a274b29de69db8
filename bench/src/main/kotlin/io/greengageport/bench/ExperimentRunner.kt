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

/** Runs the variants of an experiment one after the other, each on a new fleet. */
internal class ExperimentRunner(
    private val root: Path,
    private val fleetPath: Path,
    private val fleetFile: FleetFile,
    private val experiment: ExperimentFile,
    /** Directory to which the output of the instances is written. */
    private val logDirectory: Path,
    private val print: (String) -> Unit
) {
    /** Runs all variants with the same arrivals and returns their results. */
    fun run(): ExperimentResult {
        val arrivals =
            Arrivals.generate(experiment.groups, experiment.durationSeconds, experiment.seed)
        val started = Instant.now().toString()
        val variants = experiment.variants.map { (name, policies) ->
            print("${experiment.name}: variant $name, ${arrivals.size} requests")
            runVariant(name, policies, arrivals)
        }
        return ExperimentResult(
            name = experiment.name,
            title = experiment.title,
            seed = experiment.seed,
            durationSeconds = experiment.durationSeconds,
            startedAt = started,
            events = eventMarks(),
            variants = variants
        )
    }

    /** Returns the events and the starts and ends of surges, which affect the other callers. */
    private fun eventMarks(): List<EventMark> {
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

    private fun runVariant(
        name: String,
        policies: Map<String, String>,
        arrivals: List<Arrival>
    ): VariantResult {
        val file = fleetFile.copy(
            instances = fleetFile.instances.map { it.copy(policies = policies) }
        )
        val directory = requireNotNull(fleetPath.toAbsolutePath().parent) {
            "the fleet file has no parent directory"
        }
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
        val addresses = fleet.instances.map { fleet.callerAddress(it) }
        LoadGenerator(addresses, System.nanoTime())
            .run(Warmup.arrivals(arrivals), ANSWER_LIMIT_MILLIS)
        val service = experiment.groups.first().service
        val poller = FleetPoller(fleet, file, service)
        poller.poll()
        val tokensBefore = poller.tokensComputed
        val usageBefore = poller.sampleEngines()
        val loadBefore = loadAverage()
        val generator = LoadGenerator(addresses, System.nanoTime())
        val events = EventRunner(fleet, file, experiment, generator::elapsedNanos)
        val (results, usageAfter) = coroutineScope {
            val polling = poller.start(this)
            val running = events.start(this)
            // Sampled at the end of the arrivals, so that the time of the last answers is left out.
            val sample = async {
                delay(experiment.durationSeconds * MILLIS_PER_SECOND)
                poller.sampleEngines()
            }
            val r = generator.run(arrivals, ANSWER_LIMIT_MILLIS)
            polling.cancel()
            running.cancel()
            r to sample.await()
        }
        // Gives the engines time to stop cancelled requests before their counters are read.
        delay(SETTLE_MILLIS)
        poller.poll()
        val s = Statistics(results, experiment.durationSeconds)
        val overloadedSeconds = Demand(experiment.groups, experiment.durationSeconds)
            .secondsAbove(poller.boundTokensPerSecond)
        return VariantResult(
            name = name,
            policies = policies,
            machine = Machine(
                Runtime.getRuntime().availableProcessors(),
                loadBefore,
                loadAverage(),
                poller.cpuShare
            ),
            rows = s.rows(),
            boundTokensPerSecond = poller.boundTokensPerSecond,
            tokensPerSecond = s.rows().sumOf { it.tokensPerSecond },
            tokensComputed = poller.tokensComputed - tokensBefore,
            tokensReceived = s.tokensReceived(),
            failures = s.failures(),
            faults = s.faults(),
            orders = OrderCheck.of(results, readEffects(fleet, file)),
            recoveries = recoveryTimes(s),
            seconds = s.seconds(),
            overloaded = overloadedSeconds.takeIf { it.isNotEmpty() }
                ?.let { OverloadedThroughput(it.size, s.tokensPerSecond(it)) },
            engines = EngineUsage.between(usageBefore, usageAfter, file.engines),
            enginesLost = events.enginesLost,
            problems = events.problems.toList() + findInternalErrors(fleet)
        )
    }

    private fun recoveryTimes(s: Statistics): List<RecoveryTime> {
        val eventMarks = eventMarks()
        return eventMarks.flatMap { m ->
            val next = eventMarks.firstOrNull { it.atSeconds > m.atSeconds }?.atSeconds
            s.recovery(m.what, m.atSeconds, next ?: experiment.durationSeconds.toDouble())
        }
    }

    private fun readEffects(fleet: LocalFleet, file: FleetFile): List<String> =
        file.plain.filter { fleet.process(it.id).isAlive }.flatMap { p ->
            val body = fleet.get("http://${fleet.process(p.id).address}/effects").body()
            Json.parseToJsonElement(body).jsonArray.map {
                it.jsonObject["key"]?.jsonPrimitive?.content.orEmpty()
            }
        }

    /** Returns output lines of the instances that report an internal error. */
    private fun findInternalErrors(fleet: LocalFleet): List<String> = fleet.instances.flatMap { i ->
        fleet.process(i).output.filter { "ERROR" in it || "OutOfMemory" in it }
            .take(MAX_ERROR_LINES_PER_INSTANCE).map { "$i: $it" }
    }

    private fun writeLogs(fleet: LocalFleet, variant: String) {
        Files.createDirectories(logDirectory)
        for (i in fleet.instances) {
            val file = logDirectory.resolve("${experiment.name}-$variant-$i.log")
            Files.write(file, fleet.process(i).output)
        }
    }

    private fun loadAverage() = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

    private companion object {
        /** An attempt without a complete answer after this time counts as hung. */
        const val ANSWER_LIMIT_MILLIS = 60_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val SETTLE_MILLIS = 500L
        const val MAX_ERROR_LINES_PER_INSTANCE = 5
    }
}
