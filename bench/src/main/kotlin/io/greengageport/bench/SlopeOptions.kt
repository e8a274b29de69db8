package io.greengageport.bench

import java.nio.file.Path
import picocli.CommandLine.Option

/** Options of all `slope` commands and the fleet that they measure. */
internal class SlopeOptions {
    @Option(names = ["--heap-mb"], defaultValue = "64", description = ["MB of heap per instance."])
    var heapMegabytes: Int = 0

    @Option(names = ["--settle-s"], defaultValue = "25", description = ["Settling time."])
    var settleSeconds: Int = 0

    /** The JIT compiler of a JVM uses several per cent of a core for more than a minute. */
    @Option(
        names = ["--warm-up-s"],
        defaultValue = "60",
        description = ["Seconds before the first measurement, in addition to the settling time."]
    )
    var warmUpSeconds: Int = 0

    @Option(names = ["--measure-s"], defaultValue = "30", description = ["Seconds measured."])
    var measureSeconds: Int = 0

    @Option(names = ["--seed"], defaultValue = "1", description = ["Seed of the arrivals."])
    var seed: Long = 0

    /**
     * Creates a fleet with the demo settings.
     *
     * It has [instances] instances in [dataCentres] data centres; [startedLater] more instances can
     * be started later. If [hasRunners] is false, the fleet has neither engines nor runners of
     * plain services.
     */
    fun newFleet(
        instances: Int,
        hasRunners: Boolean = true,
        startedLater: Int = 0,
        dataCentres: Int = DATA_CENTRES,
        onLine: (String, String) -> Unit = { _, _ -> }
    ): LocalFleet {
        val root = Path.of(System.getProperty("greengageport.root", "."))
        val file = FleetFile(
            settings = "settings.yaml",
            instances = List(instances + startedLater) {
                InstanceSpec(
                    id = "entry-%02d".format(it + 1),
                    dataCentre = "dc${it % dataCentres + 1}",
                    heapMegabytes = heapMegabytes,
                    startsLater = it >= instances
                )
            },
            engines = if (hasRunners) ENGINES else emptyList(),
            plain = if (hasRunners) PLAIN else emptyList()
        )
        return LocalFleet(root, file, root.resolve("examples/demo"), onLine = onLine)
    }

    companion object {
        private const val DATA_CENTRES = 3
        private val ENGINES = listOf(0 to 6, 6 to 12).map { (from, until) ->
            EngineSpec("pack-$from", "packing-line", from = from, until = until, batch = 64)
        }
        private val PLAIN = List(2) { PlainSpec("terminal-$it", "warehouse-terminal") }

        /** Caller groups that send orders and lookups at [plainRate] each, and completions. */
        fun callerGroups(plainRate: Double, completionRate: Double): List<CallerGroup> = buildList {
            val key = listOf("line-one-key")
            for (kind in listOf(CallKind.ORDER, CallKind.LOOKUP)) {
                add(
                    CallerGroup(
                        kind.name.lowercase(),
                        key,
                        rank = "urgent",
                        kind = kind,
                        service = "warehouse-terminal",
                        rate = plainRate
                    )
                )
            }
            if (completionRate > 0) {
                add(CallerGroup("help", key, rank = "urgent", rate = completionRate, tokens = 8))
            }
        }
    }
}
