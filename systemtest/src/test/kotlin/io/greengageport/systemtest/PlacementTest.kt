package io.greengageport.systemtest

import io.greengageport.bench.EngineSpec
import io.greengageport.bench.LocalFleet
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

/** Checks that only the holder of the placement lease sends orders to engines (section 3.3). */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class PlacementTest {
    private val checkingEngines = listOf(engine("c1", "guide"), engine("c2", "guide"))
    private val ignoringEngines = listOf(engine("i1", "atlas"), engine("i2", "atlas"))
    private val fleet = TestFleet(
        engines = checkingEngines + ignoringEngines,
        settings = "placement.yaml"
    )
    private val local = fleet.local

    @AfterAll
    fun close(): Unit = fleet.close()

    /**
     * Guards against a paused holder that resumes sending orders after another instance took over
     * its lease, with engines that check fencing tokens and with engines that do not.
     */
    @Test
    @Order(1)
    fun `a holder frozen past its lease gives no order after it is thawed`() {
        val first = awaitHolder(except = null)
        publish("v2")
        // Pauses the holder in the middle of a roll-out, while orders are still to be sent.
        LocalFleet.await("the first engine with v2") { "v2" in versions() }
        fleet.process(first).freeze()
        expectThat(versions()).contains("v1")
        val others = local.instances - first
        publish("v3", through = others.first())
        val second = awaitHolder(except = first)
        expectThat(second).isNotEqualTo(first)
        awaitVersions("v3")
        val before = (checkingEngines + ignoringEngines).associate {
            it.id to
                fleet.counter(it.id, "orders_accepted")
        }
        val ordersLogged = fleet.process(first).output.count { "placement: runner=" in it }
        fleet.process(first).thaw()
        val thawed = System.nanoTime()
        // An order sent before the pause may complete within the order timeout.
        LocalFleet.await("the order timeout and two periods of placement") {
            expectThat(versions().toSet()).isEqualTo(setOf("v3"))
            System.nanoTime() - thawed > ORDER_TIMEOUT_NANOS + 2 * PERIOD_NANOS
        }
        expectThat(before.keys.associateWith { fleet.counter(it, "orders_accepted") })
            .isEqualTo(before)
        expectThat(fleet.process(first).output.count { "placement: runner=" in it })
            .isEqualTo(ordersLogged)
        expectThat(holders()).isEqualTo(listOf(second))
        publish("v4", through = first)
        awaitVersions("v4")
        checkingEngines.forEach { expectThat(fencing(it)).isGreaterThan(0) }
    }

    /** Guards against a holder that sends orders while it cannot renew its lease. */
    @Test
    @Order(2)
    fun `a holder stops with its lease in a log outage, and placement goes on after it`() {
        awaitHolder(except = null)
        val version = versions().first()
        awaitVersions(version)
        val restarted = listOf(checkingEngines.first(), ignoringEngines.first()).map { it.id }
        fleet.duringLogOutage {
            LocalFleet.await("the lease to expire") { holders().isEmpty() }
            // Engines that restart with the first version would get orders from a holder.
            restarted.forEach { fleet.process(it).kill() }
            fleet.restartEngines()
            val since = System.nanoTime()
            LocalFleet.await("a period of placement and the lag of the load reports") {
                System.nanoTime() - since > PERIOD_NANOS + REPORT_LAG_NANOS
            }
            expectThat(restarted.map { fleet.counter(it, "orders_accepted") })
                .isEqualTo(listOf(0L, 0L))
        }
        awaitVersions(version)
        expectThat(holders()).hasSize(1)
    }

    /** Guards against further versions that are never loaded or whose requests reach others. */
    @Test
    @Order(3)
    fun `a further version is loaded beside the default one and serves requests that name it`() {
        publish("v8", further = "v9")
        LocalFleet.await("each service has both versions") {
            versions().sorted() == listOf("v8", "v8", "v9", "v9")
        }
        for (model in listOf("guide", "guide:v8", "guide:v9", "atlas:v9")) {
            LocalFleet.await("an answer of $model") { status(model) == 200 }
        }
        expectThat(status("guide:v7")).isEqualTo(404)
        publish("v1")
        awaitVersions("v1")
    }

    /** Sends a request to [model] and returns the HTTP status. */
    private fun status(model: String): Int = local.post(
        "http://${local.callerAddress("entry-1")}/v1/completions",
        """{"model":"$model","prompt":"marble","max_tokens":2}""",
        "Authorization" to "Bearer ${TestFleet.BUILDERS_KEY}",
        "Greengage-Rank" to "urgent"
    ).statusCode()

    private fun awaitHolder(except: String?): String {
        LocalFleet.await("a holder of the placement lease") {
            holders().any { it != except }
        }
        return holders().first { it != except }
    }

    private fun holders() = local.instances.filter { name ->
        !fleet.isFrozen(name) && local.statusOrNull(name)?.isPlacementHolder == true
    }

    private fun awaitVersions(version: String) = LocalFleet.await("all engines have $version") {
        versions().all { it == version }
    }

    private fun versions() = (checkingEngines + ignoringEngines).map {
        fleet.counters(it.id).getValue("version").jsonPrimitive.content
    }

    private fun fencing(e: EngineSpec) = fleet.counters(e.id).getValue("fencing").jsonPrimitive.long

    private fun publish(version: String, through: String = "entry-1", further: String = "") {
        for ((service, checks) in listOf("guide" to true, "atlas" to false)) {
            val base = local.get(
                "http://${local.adminAddress(
                    through
                )}/admin/settings?path=services/quarry/$service",
                "Authorization" to "Bearer operations-key"
            ).body().substringAfter("\"base_version\":").substringBefore(',').toLong()
            val yaml = "{model: {layers: 12, version: $version, " +
                "versions: [$further], checksFencing: $checks}}"
            val r = local.publish("services/quarry/$service", yaml, base, through)
            expectThat(r.statusCode()).isEqualTo(200)
        }
    }

    private companion object {
        /** Default order timeout. */
        const val ORDER_TIMEOUT_NANOS = 5_000_000_000L

        /** Period at which placement runs. */
        const val PERIOD_NANOS = 2_000_000_000L

        /** Covers the lags of the list and the load reports and the periods of polling them. */
        const val REPORT_LAG_NANOS = 1_000_000_000L

        fun engine(id: String, service: String) = EngineSpec(
            id = id,
            service = service,
            from = 0,
            until = 12,
            stepMillis = 5,
            loadMillis = 100,
            ignoresFencing = service == "atlas",
            version = "v1"
        )
    }
}
