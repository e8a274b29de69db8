package io.greengageport.bench

import io.greengageport.entry.PublishReply
import io.greengageport.entry.PublishResult
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option

/**
 * Measures how long a published change takes to be in force on all instances.
 *
 * It also measures a log outage: whether publishes are refused and the settings stay the same, when
 * an instance that starts meanwhile has the settings, and how long changes take afterwards.
 */
@Command(name = "settings", description = ["Time until a change is in force on all instances."])
internal class SlopeSettings : Callable<Int> {
    @Mixin
    lateinit var options: SlopeOptions

    @Option(names = ["--instances"], defaultValue = "9")
    var instances: Int = 0

    @Option(names = ["--changes"], defaultValue = "100")
    var changes: Int = 0

    @Option(names = ["--outage-s"], defaultValue = "10")
    var outageSeconds: Int = 0

    /** Time in ns at which each instance had each version in force, by instance and version. */
    private val inForceNanos = ConcurrentHashMap<String, ConcurrentHashMap<Long, Long>>()
    private lateinit var random: Random

    override fun call(): Int {
        println("seed ${options.seed}, $instances instances, heap ${options.heapMegabytes} MB")
        random = Random(options.seed)
        return options.newFleet(
            instances,
            startedLater = 1,
            onLine = ::recordVersion
        ).use { fleet ->
            fleet.start()
            Thread.sleep(options.settleSeconds * MILLIS_PER_SECOND)
            val nanos = List(changes) { measureChange(fleet, it) }
            printLatency("changes", nanos)
            measureOutage(fleet)
        }
    }

    private fun recordVersion(name: String, line: String) {
        val version = IN_FORCE.find(line)?.groupValues?.get(1)?.toLong() ?: return
        inForceNanos.getOrPut(name) { ConcurrentHashMap() }.putIfAbsent(version, System.nanoTime())
    }

    /** Publishes through a random instance; returns the ns until all instances have the change. */
    private fun measureChange(fleet: LocalFleet, number: Int): Long {
        val through = fleet.instances[random.nextInt(fleet.instances.size)]
        val startNanos = System.nanoTime()
        val reply = publish(fleet, number, through)
        check(reply.result == PublishResult.ACCEPTED) { "the change was not accepted: $reply" }
        val version = checkNotNull(reply.version) { "the accepted change has no version" }
        LocalFleet.await("version $version is in force") {
            fleet.instances.all { firstInForceNanos(it, version) != null }
        }
        return fleet.instances.maxOf { checkNotNull(firstInForceNanos(it, version)) } - startNanos
    }

    /** Time at which [instance] first had [version] or a later one in force; null if not yet. */
    private fun firstInForceNanos(instance: String, version: Long): Long? =
        inForceNanos[instance]?.filterKeys { it >= version }?.values?.minOrNull()

    private fun publish(fleet: LocalFleet, number: Int, through: String): PublishReply {
        val base = fleet.readSettingsPage(PATH, through).baseVersion
        val yaml = "{priority: 2, firstTokenMillis: ${9_000 + number}, " +
            "betweenTokensMillis: 250, deadlineMillis: 60000, floorShare: 0.05, weight: 1}"
        return json.decodeFromString(fleet.publish(PATH, yaml, base, through).body())
    }

    /**
     * Returns the exit code.
     *
     * It is 0 if all publishes during the outage were refused, the settings did not change and the
     * instance that started meanwhile had them in force.
     */
    private fun measureOutage(fleet: LocalFleet): Int {
        fleet.sendControl("platform", """{"log_down":true}""")
        val downNanos = System.nanoTime()
        val endNanos = downNanos + outageSeconds * NANOS_PER_SECOND
        val lateInstance = "entry-%02d".format(instances + 1)
        val versionBefore = inForceNanos.values.maxOf { it.keys().asSequence().max() }
        val established = fleet.instances
        fleet.startInstance(lateInstance)
        val results = mutableListOf<PublishResult>()
        var number = changes
        while (System.nanoTime() < endNanos) {
            results += publish(fleet, number++, established[results.size % established.size]).result
            Thread.sleep(MILLIS_PER_SECOND)
        }
        val lateInForceNanos = firstInForceNanos(lateInstance, versionBefore)
        println("publishes during the outage: ${results.groupingBy { it }.eachCount()}")
        println(
            "instance started during the outage: version $versionBefore in force after " +
                lateInForceNanos?.let {
                    "${(it - downNanos) / NANOS_PER_MILLI} ms, start of the process included"
                }
        )
        val atEnd = fleet.instances.map { fleet.readSettingsPage(PATH, it).version }.distinct()
        println("versions in force at the end of the outage: $atEnd, expected $versionBefore")
        fleet.sendControl("platform", """{"log_down":false}""")
        val upNanos = System.nanoTime()
        val changeInForceNanos = awaitFirstAccepted(fleet, number)
        println(
            "first change after the outage in force after " +
                "${(changeInForceNanos - upNanos) / NANOS_PER_MILLI} ms"
        )
        printLatency(
            "changes after the outage",
            List(CHANGES_AFTER_OUTAGE) { measureChange(fleet, number + 1 + it) }
        )
        val refused = results.all { it == PublishResult.NOT_APPENDED }
        return if (refused && atEnd == listOf(versionBefore) && lateInForceNanos != null) 0 else 1
    }

    /**
     * Publishes until a change is accepted and in force on all instances.
     *
     * Returns the value of [System.nanoTime] at which the last instance had it in force.
     */
    private fun awaitFirstAccepted(fleet: LocalFleet, number: Int): Long {
        while (true) {
            val r = publish(fleet, number, fleet.instances.first())
            val version = r.version
            if (r.result == PublishResult.ACCEPTED && version != null) {
                LocalFleet.await("version $version is in force") {
                    fleet.instances.all { firstInForceNanos(it, version) != null }
                }
                return fleet.instances.maxOf { checkNotNull(firstInForceNanos(it, version)) }
            }
        }
    }

    private fun printLatency(what: String, nanos: List<Long>) {
        val p = Percentiles.ofNanos(nanos)
        println(
            "${p.count} $what on ${inForceNanos.size} instances: p50 ${p.p50} ms, " +
                "p95 ${p.p95} ms, max ${p.max} ms, " +
                "load average ${FleetSample.formattedLoadAverage()}"
        )
    }

    private companion object {
        const val PATH = "ranks/batch"
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val CHANGES_AFTER_OUTAGE = 20
        val IN_FORCE = Regex("settings: version=(\\d+) is in force")
        val json = Json { ignoreUnknownKeys = true }
    }
}
