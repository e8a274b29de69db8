package io.greengageport.routing

import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import java.io.File
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class DecisionLogTest {
    /** Guards against unintended changes of decisions and their log lines. */
    @Test
    fun `log lines of a session match the golden file`() {
        val golden = File("src/test/resources/golden/session.log")
        expectThat(session().joinToString("\n", postfix = "\n")).isEqualTo(golden.readText())
    }

    private fun session(): List<String> {
        val inputs = PlannerInputs()
        val fleet = fleet(
            12,
            listOf(
                runner("a1", LayerRange(0, 6)),
                runner("a2", LayerRange(0, 6), rate = 2_000.0, centre = centres[1]),
                runner("b1", LayerRange(4, 12)),
                runner("b2", LayerRange(6, 12), rate = 500.0)
            )
        )
        val lines = ArrayList<String>()
        fun logPlan(request: RoutingRequest) {
            lines += inputs.exactPlanner.plan(fleet, request)
                .let { if (it.isOk) it.value.logLine() else it.error.logLine(request) }
        }
        logPlan(request("r1"))
        inputs.queue("b1", 400.0)
        logPlan(request("r2"))
        inputs.clock.advance(200)
        val detector = OutlierDetector(inputs.clock)
        repeat(3) { detector.recordFailure(RunnerId("a1")) }
        detector.recordTimeout(RunnerId("b1"))
        lines += detector.evaluate(fleet).map { it.logLine() }
        logPlan(request("r3", excluded = detector.ejectedRunners()))
        logPlan(request("r4", isMarked = true, runnersWithMarkedRequests = setOf(RunnerId("a1"))))
        logPlan(request("r5", excluded = setOf("a1", "a2").map(::RunnerId).toSet()))
        inputs.clock.advance(5_000)
        lines += detector.evaluate(fleet).map { it.logLine() }
        lines += List(3) { detector.recordProbe(RunnerId("b1"), true) }.mapNotNull { it?.logLine() }
        logPlan(request("r6", excluded = detector.ejectedRunners()))
        lines += PlacementPlanner(inputs.clock).plan(
            listOf(ModelDemand(service, 12, 100.0, bytesPerLayer = 10, version = "v1")),
            listOf(
                PlaceableRunner(RunnerId("n1"), centres[0], "kind", 80, 1_200.0),
                PlaceableRunner(RunnerId("n2"), centres[1], "kind", 60, 1_200.0)
            )
        ).orders.map { it.logLine() }
        return lines
    }
}
