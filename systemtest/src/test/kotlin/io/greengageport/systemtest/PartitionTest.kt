package io.greengageport.systemtest

import io.greengageport.bench.LinkFault
import io.greengageport.bench.LocalFleet
import io.greengageport.bench.PlainSpec
import io.greengageport.entry.PublishReply
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Silent connections between instances and to the log, and a partition of two data centres. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
internal class PartitionTest {
    private val fleet = TestFleet(
        instances = NEAR_INSTANCES.size + FAR_INSTANCES.size,
        engines = listOf(
            engine("a1", 0, 6),
            engine("b1", 6, 12),
            engine("a2", 0, 6, dataCentre = "dc2"),
            engine("b2", 6, 12, dataCentre = "dc2")
        ),
        plain = listOf(PlainSpec("shop-1", "parts"), PlainSpec("shop-2", "parts", "dc2")),
        relayed = NEAR + FAR,
        dataCentreOf = { if ("entry-$it" in NEAR_INSTANCES) "dc1" else "dc2" }
    )
    private val local = fleet.local

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against marking instances as failed when a firewall drops idle connections. */
    @Test
    @Order(1)
    fun `silent connections between instances are replaced and no instance is marked failed`() {
        awaitMembers(local.instances)
        val silenced = local.instances.sumOf { to ->
            local.instances.sumOf { local.relay(to).silence(it) }
        }
        expectThat(silenced).isGreaterThan(0)
        val version = publish("entry-1", 21_000)
        awaitVersion(version, local.instances)
        // Within this number of periods, each instance probes every other one.
        repeat(SAMPLES) {
            expectThat(local.instances.map(::members).distinct()).isEqualTo(listOf(local.instances))
            LocalFleet.await("the next second") {
                System.nanoTime() / NANOS_PER_SECOND != sampledAtSecond
            }
            sampledAtSecond = System.nanoTime() / NANOS_PER_SECOND
        }
        val failures = local.instances.flatMap { i ->
            fleet.process(i).output.filter { "membership" in it && "failed" in it }
        }
        expectThat(failures).isEqualTo(emptyList())
    }

    private var sampledAtSecond = 0L

    /** Guards against a long poll that waits forever on a dead connection. */
    @Test
    @Order(2)
    fun `a change is in force after all connections to the log went silent`() {
        val silenced = local.instances.sumOf { local.relay("platform").silence(it) }
        expectThat(silenced).isGreaterThan(0)
        val version = publish("entry-1", 22_000)
        val accepted = System.nanoTime()
        awaitVersion(version, local.instances)
        val tookNanos = System.nanoTime() - accepted
        println("in force after silent connections to the log: ${tookNanos / 1_000_000} ms")
        expectThat(tookNanos).isLessThan(SILENCE_DETECTION_NANOS + IN_FORCE_NANOS)
    }

    /**
     * Guards against a side that stops serving, sends calls without a claim or reverts settings
     * when it cannot reach the log.
     */
    @Test
    @Order(3)
    fun `the side without the log serves models, keeps its settings and sends no order`() {
        val before = version("entry-3")
        setFaultBetweenSides(LinkFault.PARTITION)
        try {
            awaitMembers(NEAR_INSTANCES)
            awaitMembers(FAR_INSTANCES)
            val published = publish("entry-1", 23_000)
            awaitVersion(published, NEAR_INSTANCES)
            for (i in FAR_INSTANCES) {
                LocalFleet.await("$i reports that its settings may be stale") {
                    local.statusOrNull(i)?.settings?.current == false
                }
            }
            val answers = local.instances.associateWith {
                fleet.startStream(it, "apart $it", TOKENS)
            }
            val farCalls = FAR_INSTANCES.map { fleet.startOrder(it, "apart $it") }
            val nearCall = fleet.sendOrder("entry-1", "apart entry-1")
            expectThat(nearCall.status).isEqualTo(201)
            expectThat(farCalls.map { it.join().execution }.distinct()).isEqualTo(listOf("not_run"))
            for ((i, a) in answers) expectCompleteAnswer("apart $i", a)
            expectThat(FAR_INSTANCES.map(::version)).isEqualTo(FAR_INSTANCES.map { before })
        } finally {
            setFaultBetweenSides(LinkFault.NONE)
        }
        awaitVersion(version("entry-1"), local.instances)
        awaitMembers(local.instances)
        fleet.awaitLedgers()
        val again = local.instances.map { fleet.sendOrder(it, "apart entry-3") }
        expectThat(again.map { it.status }.distinct()).isEqualTo(listOf(201))
        expectThat(SHOPS.flatMap(fleet::effects).sorted())
            .isEqualTo(listOf("apart entry-1", "apart entry-3"))
    }

    private fun setFaultBetweenSides(fault: LinkFault) {
        for (to in NEAR) FAR.forEach { local.relay(to).setFault(it, fault) }
        for (to in FAR) NEAR.forEach { local.relay(to).setFault(it, fault) }
    }

    private fun expectCompleteAnswer(prompt: String, answer: StreamedAnswer) {
        answer.awaitEnd()
        if (answer.end != "complete") fleet.explain(answer.requestId)
        expectThat(answer.end to answer.tokens)
            .isEqualTo("complete" to ModelFunction.answer(prompt, TOKENS, LAYERS))
    }

    private fun members(instance: String): List<String> =
        local.statusOrNull(instance)?.members.orEmpty().map { it.id.value }.sorted()

    private fun awaitMembers(names: List<String>) = names.forEach { i ->
        LocalFleet.await("$i sees the members $names") { members(i) == names }
    }

    private fun version(name: String): Long = local.statusOrNull(name)?.settings?.version ?: -1

    private fun awaitVersion(version: Long, names: List<String>) =
        names.forEach { n -> LocalFleet.await("$n has $version") { version(n) >= version } }

    private fun publish(through: String, deadline: Int): Long {
        val yaml = "{priority: 2, firstTokenMillis: 9000, betweenTokensMillis: 250, " +
            "deadlineMillis: $deadline, floorShare: 0.05, weight: 1}"
        val reply =
            local.publish(PATH, yaml, local.readSettingsPage(PATH, through).baseVersion, through)
        return checkNotNull(json.decodeFromString<PublishReply>(reply.body()).version) {
            reply.body()
        }
    }

    private companion object {
        val NEAR_INSTANCES = listOf("entry-1", "entry-2")
        val FAR_INSTANCES = listOf("entry-3", "entry-4")
        val SHOPS = listOf("shop-1", "shop-2")

        /** Processes in the data centre of the log. */
        val NEAR = NEAR_INSTANCES + listOf("platform", "a1", "b1", "shop-1")

        /** Processes in the other data centre. */
        val FAR = FAR_INSTANCES + listOf("a2", "b2", "shop-2")

        const val PATH = "ranks/batch"
        const val TOKENS = 20
        const val SAMPLES = 6
        const val NANOS_PER_SECOND = 1_000_000_000L

        /** Longest long poll; only after it can a silent connection be told from an idle log. */
        const val SILENCE_DETECTION_NANOS = 3 * NANOS_PER_SECOND

        /** Upper bound that invariant 7 sets. */
        const val IN_FORCE_NANOS = 5 * NANOS_PER_SECOND
        val json = Json { ignoreUnknownKeys = true }
    }
}
