package io.greengageport.gateway.state

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.DutyShare
import io.greengageport.gateway.port.MemberAddress
import kotlinx.coroutines.delay

/**
 * Keeps this instance in the group among which the store deals out duties, and knows which it has.
 *
 * A duty counts as held only until the store may have given it away: the time to live is counted
 * from before the renewal was sent, so a frozen or cut-off instance stops by its own clock. What it
 * does on duty bears the group's generation as fencing token, which stops what it sent before it
 * froze. A fencing token does not stop two holders that order different engines for the same
 * layers, so a new holder waits until its peers have heard that the store has given it the duty.
 */
public class DutyKeeper(
    private val group: DutyGroup,
    private val clock: Clock,
    private val log: DecisionLog,
    private val onMembers: (Map<InstanceId, MemberAddress>) -> Unit,
    private val isStoreAwayForAll: () -> Boolean = { false },
    private val onStoreRegained: () -> Unit = {}
) {
    private var share: DutyShare? = null
    private var heldUntil = Long.MIN_VALUE
    private var fencedAt = -1L
    private var hadPlacement = false
    private var placesFrom = Long.MIN_VALUE
    private var renewedAt: Long? = null
    private var isAnswered = false
    private var isLeaving = false

    /** The fencing token under which this instance may place layers now, or null. */
    public fun placementToken(): Long? {
        val s = share ?: return null
        val now = clock.monotonicMillis()
        val isHeld = PLACEMENT_DUTY in s.duties && now >= placesFrom &&
            (now < heldUntil || isKept())
        return if (isHeld && s.generation > fencedAt) s.generation else null
    }

    /** Age of the last renewal that the store answered, or null before the first. */
    fun renewalAgeMillis(): Long? = renewedAt?.let { clock.monotonicMillis() - it }

    /**
     * Whether a lapsed duty is kept, because the store answers nobody and so cannot have given it
     * to another. A holder that is wrong in this is stopped by the engines, which have seen a later
     * token, and by the state that each order expects.
     */
    private fun isKept(): Boolean = !isAnswered && !isLeaving &&
        clock.monotonicMillis() < heldUntil + KEPT_MILLIS &&
        isStoreAwayForAll()

    /** Whether this instance reads the list of servers for all; several may for a moment. */
    val isReader: Boolean
        get() = READER_DUTY in share?.duties.orEmpty() && clock.monotonicMillis() < heldUntil

    /** Takes note that an order with [token] was refused in favour of a higher one. */
    public fun onFenced(token: Long) {
        fencedAt = maxOf(fencedAt, token)
        log.record("duty", "fenced", "token" to token)
    }

    /** Renews the membership until cancelled. */
    suspend fun run() {
        var rounds = 0
        while (true) {
            renew()
            if (rounds in EARLY_ROUNDS || rounds % MEMBERS_EVERY == 0) readMembers()
            rounds++
            delay(RENEW_MILLIS)
        }
    }

    /** Gives the duties back. */
    public suspend fun leave() {
        isLeaving = true
        heldUntil = Long.MIN_VALUE
        if (share == null) return
        group.leave().fold(
            { log.record("duty", "left") },
            { log.record("duty", "leave_failed", "error" to it) }
        )
    }

    internal suspend fun renew() {
        val sentAt = clock.monotonicMillis()
        group.renew(share?.generation ?: 0).fold(
            { s ->
                share = s
                val wasAway = sentAt - (renewedAt ?: sentAt) > AWAY_MILLIS
                renewedAt = sentAt
                isAnswered = true
                heldUntil = sentAt + s.timeToLiveMillis - SAFETY_MILLIS
                report(s)
                if (wasAway) onStoreRegained()
            },
            { error ->
                isAnswered = false
                if (clock.monotonicMillis() >= heldUntil && hadPlacement) {
                    hadPlacement = false
                    log.record("duty", "lapsed", "error" to error)
                }
            }
        )
    }

    private fun report(s: DutyShare) {
        val has = PLACEMENT_DUTY in s.duties
        if (has == hadPlacement) return
        hadPlacement = has
        if (has) placesFrom = clock.monotonicMillis() + TAKEOVER_MILLIS
        log.record(
            "duty",
            if (has) "placement_taken" else "placement_given_up",
            "generation" to s.generation
        )
    }

    private suspend fun readMembers() {
        group.holders().fold(onMembers) { log.record("duty", "members_unknown", "error" to it) }
    }

    private companion object {
        /** The duty with this number is the placement of layers. */
        const val PLACEMENT_DUTY = 0

        /** The duty with this number is to read the list of servers for all instances. */
        const val READER_DUTY = 1
        const val RENEW_MILLIS = 1_000L

        /** Outages of the store last some seconds to half a minute. */
        const val KEPT_MILLIS = 30_000L

        /** A duty ends early by this, for clocks that run apart and calls that are slow. */
        const val SAFETY_MILLIS = 500L

        /**
         * Time in which the former holder hears of the store: peers report that at once. Layers of
         * lost engines are missing meanwhile, and duties may be dealt anew within a second.
         */
        const val TAKEOVER_MILLIS = 200L

        /** Two renewals that the store has not answered. */
        const val AWAY_MILLIS = 2_500L

        /** Right after the start; from one member on, instances learn of all others by reports. */
        val EARLY_ROUNDS = setOf(1, 5)

        /** Rounds between later reads; new instances make themselves known to their peers. */
        const val MEMBERS_EVERY = 30
    }
}
