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

/** Whole random sessions against the naive rule; jqwik prints the seed of a failing session. */
class SettingsConvergenceTest {
    /**
     * Guards against readers that differ, go back or stay behind, and against publishers that are
     * told something else than what the log holds.
     */
    @Property(tries = 150, seed = "2026", shrinking = ShrinkingMode.OFF)
    @Label("all instances agree with the naive rule after any session")
    fun agreesWithNaiveRule(@ForAll seed: Long) = runBlocking {
        val world = SettingsWorld(Random(seed))
        repeat(250) { world.step() }
        world.heal()
        val expected = world.naive.version to hashOf(world.naive.documents)
        expectThat(world.versions().toSet()).isEqualTo(setOf(expected))
        expectThat(world.currencies()).all { get { current }.isTrue() }
        checkOutcomes(world)
    }

    private fun checkOutcomes(world: SettingsWorld) {
        val accepted = world.naive.accepted.map { it.id }.toSet()
        val wrong = world.outcomes.filter { o ->
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
