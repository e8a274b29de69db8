package io.greengageport.gateway.state

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.InstanceId
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.port.DutyAssignment
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.gateway.port.StoreEpoch
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Renews this instance's membership in the group among which the store assigns duties, and tracks
 * the duties that this instance holds.
 *
 * A duty is a lease: it is held only until the store may have reassigned it. Its time to live is
 * counted from before the renewal was sent, so that an instance that freezes or loses its network
 * stops by its own clock. It also lapses when the store is restored, until a renewal in the new
 * epoch confirms it. Operations that require a duty carry the generation of the group as
 * fencing token, which invalidates whatever the instance sent before it froze. A fencing token does
 * not prevent two holders from ordering different engines to load the same layers, so a new holder
 * waits until its peers have learned that the store has assigned it the duty. For the same reason
 * an instance that sees a restore places no layers until earlier leases have ended.
 *
 * An instance without a path to backend servers holds no duty: from [suspendDuties] to
 * [resumeDuties] it is no member of the group, and only reads the list of members.
 */
public class DutyLease(
    private val group: DutyGroup,
    private val epoch: StoreEpoch,
    private val clock: Clock,
    private val log: DecisionLog,
    private val onMembers: (Map<InstanceId, MemberAddress>) -> Unit,
    private val isStoreUnreachableForAll: () -> Boolean = { false },
    private val onStoreRecovered: () -> Unit = {}
) {
    private var assignment: DutyAssignment? = null
    private var heldUntilMillis = Long.MIN_VALUE

    /** The highest of this instance's tokens that an engine has rejected, or -1. */
    private var highestFencedToken = -1L
    private var hadPlacement = false
    private var placementStartsAtMillis = Long.MIN_VALUE
    private var lastRenewalMillis: Long? = null
    private var hasLastRenewalSucceeded = false
    private var isLeaving = false
    private var isSuspended = false

    /**
     * Increases with each departure from the group. The answer to a renewal of an earlier
     * membership is not used.
     */
    private var membership = 0

    /** The generation of the last answer, also of an earlier membership. */
    private var lastGeneration: Long? = null

    /** Until when the store may execute a departure that it has not confirmed. */
    private var lateLeaveUntilMillis = Long.MIN_VALUE

    /** Whether the store has not answered a renewal since the duties were resumed. */
    private var isRejoining = false

    /** Increases each time the placement duty is acquired. Orders of earlier terms are void. */
    internal var placementTerm: Int = 0
        private set

    /** Has an element while a restore or a resumption was not followed by a renewal. */
    private val renewalRequests = Channel<Unit>(Channel.CONFLATED)

    /** Has an element while the store has not been told of a suspension. */
    private val departures = Channel<Unit>(Channel.CONFLATED)

    init {
        epoch.onRestored { renewalRequests.trySend(Unit) }
    }

    /** The fencing token under which this instance can place layers now, or null if it must not. */
    public fun placementToken(): Long? {
        val current = assignment ?: return null
        val now = clock.monotonicMillis()
        val isHeld = PLACEMENT_DUTY in current.duties && isOfCurrentEpoch(current) &&
            now >= placementStartsAtMillis && (now < heldUntilMillis || isExtended())
        return if (isHeld && current.generation > highestFencedToken) current.generation else null
    }

    /**
     * Age of the last renewal that the store answered, in ms. Null before the first one, and while
     * the duties are suspended: an instance that does not renew has no evidence about the store.
     */
    fun renewalAgeMillis(): Long? = lastRenewalMillis?.let { clock.monotonicMillis() - it }

    /**
     * Whether an expired duty is still held because the store is unreachable for all instances and
     * so cannot have reassigned it. If that conclusion is wrong, engines reject this holder's
     * orders: they have seen a later token, or are in a different state from the one that the order
     * expects.
     */
    private fun isExtended(): Boolean = !hasLastRenewalSucceeded && !isLeaving &&
        clock.monotonicMillis() < heldUntilMillis + EXTENSION_MILLIS &&
        isStoreUnreachableForAll()

    /**
     * Whether this instance reads the list of servers on behalf of all. Several instances may do so
     * for a short time.
     */
    val isReader: Boolean
        get() = assignment?.let { READER_DUTY in it.duties && isOfCurrentEpoch(it) } == true &&
            clock.monotonicMillis() < heldUntilMillis

    /**
     * Whether the store still knows [assignment]. A restored store may have assigned the same
     * duties to others in its new epoch.
     */
    private fun isOfCurrentEpoch(assignment: DutyAssignment): Boolean =
        EpochNumber.epochOf(assignment.generation) == epoch.current

    /**
     * Records that an engine rejected an order with [token] because it has seen a higher one. The
     * token is not used again.
     */
    public fun onFenced(token: Long) {
        highestFencedToken = maxOf(highestFencedToken, token)
        log.record("duty", "fenced", "token" to EpochNumber.describe(token))
    }

    /**
     * Renews the membership and reads the list of members periodically, until cancelled or leaving.
     * When the store is restored, the membership is renewed at once, since all duties have lapsed.
     * While the duties are suspended, only the members are read.
     */
    suspend fun run(): Unit = coroutineScope {
        // A departure that the store does not answer must not delay the next membership.
        val departing = launch {
            while (true) {
                departures.receive()
                leaveGroup()
            }
        }
        var rounds = 0
        while (!isLeaving) {
            if (!isSuspended) renew()
            if (rounds in EARLY_READ_ROUNDS || rounds % MEMBER_READ_ROUNDS == 0) readMembers()
            rounds++
            withTimeoutOrNull(RENEWAL_INTERVAL_MILLIS) { renewalRequests.receive() }
        }
        departing.cancel()
    }

    /** Releases all duties before a planned stop. */
    public suspend fun leave() {
        isLeaving = true
        // A suspended instance has left the group already.
        if (endMembership()) leaveGroup()
    }

    /**
     * Gives up all duties at once and leaves the group, because this instance has no path to
     * backend servers. It does not join again before [resumeDuties].
     */
    public fun suspendDuties() {
        if (isSuspended) return
        isSuspended = true
        log.record("duty", "suspended", "had_placement" to hadPlacement)
        lastRenewalMillis = null
        if (endMembership()) departures.trySend(Unit)
    }

    /** Joins the group again as a new member, after [suspendDuties]. */
    public fun resumeDuties() {
        if (!isSuspended) return
        isSuspended = false
        isRejoining = true
        log.record("duty", "resumed")
        renewalRequests.trySend(Unit)
    }

    /** Forgets the duties of this membership; returns whether the store has to be told. */
    private fun endMembership(): Boolean {
        val isMember = assignment != null
        membership++
        assignment = null
        heldUntilMillis = Long.MIN_VALUE
        hasLastRenewalSucceeded = false
        hadPlacement = false
        return isMember
    }

    /** Tells the store that this instance leaves; without an answer the lease expires there. */
    private suspend fun leaveGroup() {
        lateLeaveUntilMillis = clock.monotonicMillis() + LATE_LEAVE_MILLIS
        group.leave().fold(
            {
                lateLeaveUntilMillis = Long.MIN_VALUE
                log.record("duty", "left")
            },
            { log.record("duty", "leave_failed", "error" to it) }
        )
    }

    /** Renews the membership once and updates the duties held. */
    internal suspend fun renew() {
        val sentAtMillis = clock.monotonicMillis()
        val sentFor = membership
        val result = group.renew(assignment?.generation ?: 0)
        if (membership != sentFor) {
            // The store may have executed the renewal after the departure.
            if (result.isOk && (isSuspended || isLeaving)) leaveGroup()
            return
        }
        result.fold(
            { renewed -> onRenewed(renewed, sentAtMillis) },
            { error ->
                hasLastRenewalSucceeded = false
                if (clock.monotonicMillis() >= heldUntilMillis && hadPlacement) {
                    hadPlacement = false
                    log.record("duty", "lapsed", "error" to error)
                }
            }
        )
    }

    private fun onRenewed(renewed: DutyAssignment, sentAtMillis: Long) {
        if (isFirstAfterRestore(renewed)) delayPlacement(renewed.timeToLiveMillis)
        assignment = renewed
        lastGeneration = renewed.generation
        val wasUnreachable = sentAtMillis - (lastRenewalMillis ?: sentAtMillis) > OUTAGE_MILLIS
        lastRenewalMillis = sentAtMillis
        hasLastRenewalSucceeded = true
        heldUntilMillis = sentAtMillis + renewed.timeToLiveMillis - SAFETY_MARGIN_MILLIS
        updatePlacement(renewed)
        // A peer may extend a duty that the store has just assigned to this new member.
        if (wasUnreachable || isRejoining) onStoreRecovered()
        isRejoining = false
    }

    /**
     * Delays placement when the duty of it is acquired, and logs when it is acquired
     * or lost.
     */
    private fun updatePlacement(renewed: DutyAssignment) {
        val hasPlacement = PLACEMENT_DUTY in renewed.duties
        if (hasPlacement == hadPlacement) return
        hadPlacement = hasPlacement
        if (hasPlacement) {
            placementTerm++
            delayPlacement(TAKEOVER_DELAY_MILLIS)
            placementStartsAtMillis = maxOf(placementStartsAtMillis, lateLeaveUntilMillis)
        }
        log.record(
            "duty",
            if (hasPlacement) "placement_taken" else "placement_given_up",
            "generation" to EpochNumber.describe(renewed.generation)
        )
    }

    /**
     * Whether [renewed] is the first assignment after a restore that this instance saw.
     *
     * Leases of the epoch before may still run then at instances that have not reached the store
     * since, and the list of servers is that of the copy until the servers have written their
     * entries again. Both end within the time to live of a duty. An instance that has just started
     * cannot tell how old the epoch is and does not wait: holders restart far more often than the
     * store is restored, and layers of lost engines would stay missing meanwhile.
     */
    private fun isFirstAfterRestore(renewed: DutyAssignment): Boolean {
        val previous = lastGeneration ?: return false
        return EpochNumber.epochOf(renewed.generation) != EpochNumber.epochOf(previous)
    }

    private fun delayPlacement(millis: Long) {
        placementStartsAtMillis =
            maxOf(placementStartsAtMillis, clock.monotonicMillis() + millis)
    }

    private suspend fun readMembers() {
        group.holders().fold(onMembers) { log.record("duty", "members_unknown", "error" to it) }
    }

    private companion object {
        /** Number of the duty to place the layers of models. */
        const val PLACEMENT_DUTY = 0

        /** Number of the duty to read the list of servers for all instances. */
        const val READER_DUTY = 1
        const val RENEWAL_INTERVAL_MILLIS = 1_000L

        /**
         * Limit of the extension of a duty. Outages of the store last from a few seconds to half a
         * minute.
         */
        const val EXTENSION_MILLIS = 30_000L

        /** Margin for clock drift and slow calls, by which a duty ends early. */
        const val SAFETY_MARGIN_MILLIS = 500L

        /**
         * Time for the previous holder to learn that the store is reachable; peers report that at
         * once. A longer delay would leave the layers of lost engines missing, and duties may be
         * reassigned within a second.
         */
        const val TAKEOVER_DELAY_MILLIS = 200L

        /**
         * Delay of placement after a departure that the store has not confirmed. If the store
         * executes it after this instance has joined again, it assigns the duty to another
         * instance, and only the next renewal shows that. Covers the timeouts of both calls and the
         * interval between renewals.
         */
        const val LATE_LEAVE_MILLIS = 2_500L

        /** Spans two renewals that the store did not answer. */
        const val OUTAGE_MILLIS = 2_500L

        /**
         * Rounds soon after the start in which the members are read too. Once an instance knows one
         * member, it learns of the others from reports.
         */
        val EARLY_READ_ROUNDS = setOf(1, 5)

        /**
         * Rounds between the later reads, which can be rare because new instances report to their
         * peers.
         */
        const val MEMBER_READ_ROUNDS = 30
    }
}
