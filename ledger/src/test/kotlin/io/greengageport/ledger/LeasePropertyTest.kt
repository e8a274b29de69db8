package io.greengageport.ledger

import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.statistics.Statistics
import strikt.api.expect
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Runs random interleavings of three instances that contend for one lease. */
class LeasePropertyTest {
    /** Guards against an engine that accepts orders of a paused or replaced lease holder. */
    @Property(
        tries = 60,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun neverTwoValidHoldersAndTokensNeverGoBack(@ForAll seed: Long) {
        val simulation = LeaseSimulation(seed, engineChecksTokens = true).run()
        Statistics.label("acquisitions").collect(simulation.acquisitions / 10 * 10)
        expect {
            that(simulation.violations).isEmpty()
            that(simulation.acceptedTokens)
                .isEqualTo(simulation.acceptedTokens.sorted().toMutableList())
            that(simulation.engineState).isEqualTo(simulation.currentHolder)
        }
    }

    /**
     * Guards against a delayed order of an earlier holder that overrides the orders of the current
     * one.
     */
    @Property(
        tries = 60,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun engineThatIgnoresTokensEndsInStateOfNewestHolder(@ForAll seed: Long) {
        val simulation = LeaseSimulation(seed, engineChecksTokens = false).run()
        expect {
            that(simulation.violations).isEmpty()
            that(simulation.engineState).isEqualTo(simulation.currentHolder)
        }
    }

    private companion object {
        const val SEED = "20261204"
    }
}
