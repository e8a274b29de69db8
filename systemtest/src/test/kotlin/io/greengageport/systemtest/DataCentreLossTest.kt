package io.greengageport.systemtest

import io.greengageport.bench.PlainSpec
import io.greengageport.standins.ModelFunction
import io.greengageport.systemtest.TestFleet.Companion.LAYERS
import io.greengageport.systemtest.TestFleet.Companion.engine
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Kills all processes of a data centre while instances elsewhere stream answers. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class DataCentreLossTest {
    private val engines = (1..2).flatMap { c ->
        (1..2).flatMap {
            listOf(
                engine("a$c$it", 0, 6, dataCentre = "dc$c"),
                engine("b$c$it", 6, 12, dataCentre = "dc$c")
            )
        }
    }
    private val fleet = TestFleet(
        engines = engines,
        plain = listOf(PlainSpec("shop-1", "parts"), PlainSpec("shop-3", "parts", "dc3")),
        dataCentreOf = { "dc$it" }
    )
    private val local = fleet.local

    @AfterAll
    fun close(): Unit = fleet.close()

    /** Guards against cutting or blocking answers that lose both of their stages at once. */
    @Test
    @Tag("known-red")
    fun `streams through other data centres complete and urgent requests are served`() {
        // The third data centre has no engines, so its streams run on engines of the other two.
        val prompts = (1..STREAMS).associateBy { "centre $it" }
        val answers = prompts.mapValues { (p, i) ->
            fleet.startStream("entry-${2 + i % 2}", p, TOKENS)
        }
        answers.values.forEach { it.awaitTokens(2) }
        val killed = local.instances.take(1) + engines.map { it.id }.filter { it[1] == '1' } +
            "shop-1"
        expectThat(killed.filter { it in fleet.liveEngines }.sumOf { fleet.counter(it, "running") })
            .isGreaterThan(0)
        killed.map { name -> Thread { fleet.process(name).kill() }.apply { start() } }
            .forEach { it.join() }
        val urgent = (1..URGENT).associate {
            "urgent $it" to fleet.startStream("entry-${2 + it % 2}", "urgent $it", TOKENS)
        }
        val all = answers + urgent
        all.values.forEach { it.awaitEnd() }
        println("longest gaps: ${answers.values.map { it.longestGapMillis }.sorted()} ms")
        all.values.filter { it.end != "complete" }.forEach { fleet.explain(it.requestId) }
        expectThat(all.mapValues { (_, a) -> a.end to a.tokens }).isEqualTo(
            all.mapValues { (p, _) -> "complete" to ModelFunction.answer(p, TOKENS, LAYERS) }
        )
        val orders = listOf("entry-2", "entry-3").map { fleet.sendOrder(it, "after $it").status }
        expectThat(orders).isEqualTo(listOf(201, 201))
    }

    private companion object {
        const val TOKENS = 60
        const val STREAMS = 12
        const val URGENT = 4
    }
}
