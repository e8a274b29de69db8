package io.greengageport.bench

import java.nio.file.Path
import picocli.CommandLine.Option

/** Options and the fleet that the `slope` commands share. */
internal class SlopeOptions {
    @Option(names = ["--heap-mb"], defaultValue = "64", description = ["Heap of an instance."])
    var heap: Int = 0

    @Option(names = ["--settle-s"], defaultValue = "25", description = ["Before measuring."])
    var settle: Int = 0

    /** The compiler of a JVM takes several per cent of a core for more than a minute. */
    @Option(
        names = ["--warm-up-s"],
        defaultValue = "60",
        description = ["Time before the first figure of a fleet, besides the settling time."]
    )
    var warmUp: Int = 0

    @Option(names = ["--measure-s"], defaultValue = "30", description = ["Span of a figure."])
    var measure: Int = 0

    @Option(names = ["--seed"], defaultValue = "1", description = ["Seed of the arrivals."])
    var seed: Long = 0

    /** A fleet with the demo's settings; [later] more instances are not started. */
    fun fleet(
        instances: Int,
        engines: Boolean = true,
        later: Int = 0,
        centres: Int = CENTRES,
        onLine: (String, String) -> Unit = { _, _ -> }
    ): LocalFleet {
        val root = Path.of(System.getProperty("greengageport.root", "."))
        val file = FleetFile(
            settings = "settings.yaml",
            instances = List(instances + later) {
                InstanceSpec(
                    id = "entry-%02d".format(it + 1),
                    dataCentre = "dc${it % centres + 1}",
                    heapMegabytes = heap,
                    startsLater = it >= instances
                )
            },
            engines = if (engines) ENGINES else emptyList(),
            plain = if (engines) PLAIN else emptyList()
        )
        return LocalFleet(root, file, root.resolve("examples/demo"), onLine = onLine)
    }

    companion object {
        private const val CENTRES = 3
        private val ENGINES = listOf(0 to 6, 6 to 12).map { (from, until) ->
            EngineSpec("pack-$from", "packing-line", from = from, until = until, batch = 64)
        }
        private val PLAIN = List(2) { PlainSpec("terminal-$it", "warehouse-terminal") }

        /** Callers that send orders and lookups at equal rates, and completions. */
        fun callers(plainRate: Double, completionRate: Double): List<CallerGroup> = buildList {
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
