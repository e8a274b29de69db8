package io.greengageport.settings

import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import net.jqwik.api.ForAll
import net.jqwik.api.Label
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/**
 * Compares random sessions with the reference implementation of the publish rule. jqwik prints the
 * seed of a failing session.
 */
class SettingsConvergenceTest {
    /**
     * Guards against readers that diverge, revert to an older version or stop updating, and against
     * publish outcomes that contradict the log.
     */
    @Property(tries = 150, seed = "2026", shrinking = ShrinkingMode.OFF)
    @Label("all instances agree with the reference implementation after any session")
    fun agreesWithReference(@ForAll seed: Long) = runBlocking {
        val simulation = SettingsSimulation(Random(seed))
        repeat(250) { simulation.step() }
        simulation.endFaults()
        val expected = simulation.reference.version to hashOf(simulation.reference.documents)
        expectThat(simulation.versions().toSet()).isEqualTo(setOf(expected))
        expectThat(simulation.freshness()).all { get { isCurrent }.isTrue() }
        checkOutcomes(simulation)
    }

    private fun checkOutcomes(simulation: SettingsSimulation) {
        val accepted = simulation.reference.accepted.map { it.id }.toSet()
        val wrong = simulation.outcomes.filter { o ->
            when (o) {
                is PublishOutcome.Accepted -> o.id !in accepted
                is PublishOutcome.Rejected, is PublishOutcome.NotAppended -> o.id in accepted
                is PublishOutcome.Undecided -> false
            }
        }
        expectThat(wrong).isEqualTo(emptyList())
    }

    private fun hashOf(documents: Map<SettingsPath, SettingsDocument>) =
        documents.entries.fold(TreeHash.EMPTY) { h, (p, d) -> h + TreeHash.of(p, d) }
}
