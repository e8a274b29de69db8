package io.greengageport.ledger

import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.statistics.Statistics
import strikt.api.expect
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Random interleavings of three contenders for one lease. */
class LeasePropertyTest {
    /** Guards against a paused or replaced holder whose orders an engine still accepts. */
    @Property(
        tries = 60,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun neverTwoValidHoldersAndTokensNeverGoBack(@ForAll seed: Long) {
        val s = LeaseSimulation(seed, engineChecksTokens = true).run()
        Statistics.label("acquisitions").collect(s.acquisitions / 10 * 10)
        expect {
            that(s.violations).isEmpty()
            that(s.accepted).isEqualTo(s.accepted.sorted().toMutableList())
            that(s.state).isEqualTo(s.holder)
        }
    }

    /** Guards against a late order of an earlier holder that stays in force. */
    @Property(
        tries = 60,
        seed = SEED,
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF
    )
    fun engineThatIgnoresTokensEndsInStateOfNewestHolder(@ForAll seed: Long) {
        val s = LeaseSimulation(seed, engineChecksTokens = false).run()
        expect {
            that(s.violations).isEmpty()
            that(s.state).isEqualTo(s.holder)
        }
    }

    private companion object {
        const val SEED = "20261204"
    }
}
