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

/** Time until a published change is in force on every instance, also around a log outage. */
@Command(name = "settings", description = ["Time until a change is in force everywhere."])
internal class SlopeSettings : Callable<Int> {
    @Mixin
    lateinit var options: SlopeOptions

    @Option(names = ["--instances"], defaultValue = "9")
    var instances: Int = 0

    @Option(names = ["--changes"], defaultValue = "100")
    var changes: Int = 0

    @Option(names = ["--outage-s"], defaultValue = "10")
    var outage: Int = 0

    /** When each instance had a version of at least the key in force. */
    private val inForce = ConcurrentHashMap<String, ConcurrentHashMap<Long, Long>>()
    private lateinit var random: Random

    override fun call(): Int {
        println("seed ${options.seed}, $instances instances, heap ${options.heap} MB")
        random = Random(options.seed)
        return options.fleet(instances, later = 1, onLine = ::collect).use { fleet ->
            fleet.start()
            Thread.sleep(options.settle * MILLIS)
            val nanos = List(changes) { change(fleet, it) }
            report("changes", nanos)
            outage(fleet)
        }
    }

    private fun collect(name: String, line: String) {
        val version = IN_FORCE.find(line)?.groupValues?.get(1)?.toLong() ?: return
        inForce.getOrPut(name) { ConcurrentHashMap() }.putIfAbsent(version, System.nanoTime())
    }

    /** Publishes through a random instance; nanoseconds until all instances have the change. */
    private fun change(fleet: LocalFleet, number: Int): Long {
        val through = fleet.instances[random.nextInt(fleet.instances.size)]
        val start = System.nanoTime()
        val reply = publish(fleet, number, through)
        check(reply.result == PublishResult.ACCEPTED) { "not accepted: $reply" }
        val version = checkNotNull(reply.version) { "an accepted change has a version" }
        LocalFleet.await("version $version is in force") {
            fleet.instances.all { reached(it, version) != null }
        }
        return fleet.instances.maxOf { checkNotNull(reached(it, version)) } - start
    }

    private fun reached(instance: String, version: Long): Long? =
        inForce[instance]?.filterKeys { it >= version }?.values?.minOrNull()

    private fun publish(fleet: LocalFleet, number: Int, through: String): PublishReply {
        val base = fleet.page(PATH, through).baseVersion
        val yaml = "{priority: 2, firstTokenMillis: ${9_000 + number}, " +
            "betweenTokensMillis: 250, deadlineMillis: 60000, floorShare: 0.05, weight: 1}"
        return json.decodeFromString(fleet.publish(PATH, yaml, base, through).body())
    }

    private fun outage(fleet: LocalFleet): Int {
        fleet.control("platform", """{"log_down":true}""")
        val down = System.nanoTime()
        val end = down + outage * NANOS_PER_SECOND
        val late = "entry-%02d".format(instances + 1)
        val before = inForce.values.maxOf { it.keys().asSequence().max() }
        val established = fleet.instances
        fleet.startInstance(late)
        val results = mutableListOf<PublishResult>()
        var number = changes
        while (System.nanoTime() < end) {
            results += publish(fleet, number++, established[results.size % established.size]).result
            Thread.sleep(MILLIS)
        }
        val learned = reached(late, before)
        println("publishes during the outage: ${results.groupingBy { it }.eachCount()}")
        println(
            "instance started during the outage: version $before in force after " +
                learned?.let {
                    "${(it - down) / NANOS_PER_MILLI} ms, start of the process included"
                }
        )
        val atEnd = fleet.instances.map { fleet.page(PATH, it).version }.distinct()
        println("versions in force at the end of the outage: $atEnd, expected $before")
        fleet.control("platform", """{"log_down":false}""")
        val up = System.nanoTime()
        val first = firstAccepted(fleet, number)
        println("first change after the outage in force after ${(first - up) / NANOS_PER_MILLI} ms")
        report("changes after it", List(AFTER) { change(fleet, number + 1 + it) })
        val refused = results.all { it == PublishResult.NOT_APPENDED }
        return if (refused && atEnd == listOf(before) && learned != null) 0 else 1
    }

    /** Publishes until a change is accepted and in force; the time of that. */
    private fun firstAccepted(fleet: LocalFleet, number: Int): Long {
        while (true) {
            val r = publish(fleet, number, fleet.instances.first())
            val version = r.version
            if (r.result == PublishResult.ACCEPTED && version != null) {
                LocalFleet.await("version $version is in force") {
                    fleet.instances.all { reached(it, version) != null }
                }
                return fleet.instances.maxOf { checkNotNull(reached(it, version)) }
            }
        }
    }

    private fun report(what: String, nanos: List<Long>) {
        val p = Percentiles.ofNanos(nanos)
        println(
            "${p.count} $what on ${inForce.size} instances: p50 ${p.p50} ms, p95 ${p.p95} ms, " +
                "max ${p.max} ms, load average ${FleetSample.loadAverage()}"
        )
    }

    private companion object {
        const val PATH = "ranks/batch"
        const val MILLIS = 1_000L
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val AFTER = 20
        val IN_FORCE = Regex("settings: version=(\\d+) is in force")
        val json = Json { ignoreUnknownKeys = true }
    }
}
