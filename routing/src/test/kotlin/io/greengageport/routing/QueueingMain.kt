package io.greengageport.routing

/** Prints throughput, as a share of the bound, and latencies for each planner and load. */
fun main() {
    val planners = listOf<Pair<String, (CostModel, kotlin.random.Random) -> ChainPlanner>>(
        "first-fit" to { costs, _ -> FirstFit(costs) },
        "least-queue" to { costs, _ -> LeastQueue(costs) },
        "shortest, all candidates" to { costs, random ->
            ShortestChain(costs, random, Int.MAX_VALUE)
        },
        "shortest, 1 of a group" to { costs, random -> ShortestChain(costs, random, 1, 1) },
        "shortest, 2 of a group" to { costs, random -> ShortestChain(costs, random, 2, 2) },
        "shortest, no congestion" to { costs, random ->
            ShortestChain(costs, random, congestionWeight = 0.0)
        },
        "shortest, 3 of a group" to { costs, random -> ShortestChain(costs, random, 3, 3) }
    )
    for (layout in listOf("disjoint", "overlapping")) {
        for (instances in listOf(1, 8, 40)) {
            for (load in listOf(0.5, 0.8, 0.95)) {
                println("$layout ranges, $instances instances, load $load, seed 11")
                val ranges = if (layout == "disjoint") {
                    QueueingComparison.DISJOINT
                } else {
                    QueueingComparison.OVERLAPPING
                }
                val comparison = QueueingComparison(11, load, instances, ranges = ranges)
                for ((name, planner) in planners) {
                    println("  %-26s %s".format(name, comparison.run(planner)))
                }
            }
        }
    }
}
