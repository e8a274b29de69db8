package io.greengageport.membership

import io.greengageport.common.InstanceId
import kotlin.random.Random

/** Effects that [SwimCore] asks its caller to carry out, in order. */
internal sealed interface Effect {
    /** Send [message] to the member at [address]; [to] is null for a seed of unknown id. */
    data class Send(val to: InstanceId?, val address: String, val message: SwimMessage) : Effect

    /** Send [message] on the connection on which the handled message arrived. */
    data class Reply(val message: SwimMessage) : Effect

    /** Close the connection to [peer]; the next message opens a new one. */
    data class Reconnect(val peer: InstanceId) : Effect

    data class Notice(val notice: MemberNotice) : Effect

    /** A newer item arrived; [isOwn] tells that it was published here. */
    data class Deliver(val item: GossipItem, val isOwn: Boolean) : Effect
}

/**
 * The probes of one instance. Not thread-safe.
 *
 * A probe first pings over the open connection, then over a new one, then through helpers; only
 * then is the member suspected. Every other probe goes to a neighbour, which finds silent
 * connections of the overlay early and saves opening connections; the rest follow a shuffled round
 * robin over all members, so that each is probed by each instance in bounded time.
 */
internal class Prober(
    private val timings: PeerTimings,
    private val random: Random,
    private val health: LocalHealth
) {
    private enum class Stage { DIRECT, RECONNECTED, INDIRECT }

    private class Probe(val target: MemberRecord, var stage: Stage, var deadline: Long) {
        var helpers = 0
        var answers = 0
    }

    private class IndirectProbe(val requester: MemberRecord, val sequence: Long, val deadline: Long)

    /** Outcome of the probes since the last call of [advance]. */
    class Progress(val effects: List<Effect>, val unanswered: List<InstanceId>)

    private val probes = LinkedHashMap<Long, Probe>()
    private val indirectProbes = LinkedHashMap<Long, IndirectProbe>()
    private val order = ArrayDeque<InstanceId>()
    private val neighbourOrder = ArrayDeque<InstanceId>()
    private var sequence = 0L
    private var turn = 0

    /** The next member to probe, or null if there is none. */
    fun next(live: List<MemberRecord>, neighbours: Set<InstanceId>): MemberRecord? {
        if (live.isEmpty()) return null
        val toNeighbour = turn++ % 2 == 0 && neighbours.isNotEmpty()
        val queue = if (toNeighbour) neighbourOrder else order
        val known = live.associateBy { it.id }
        repeat(2) {
            while (queue.isNotEmpty()) {
                val id = queue.removeFirst()
                if (!toNeighbour || id in neighbours) known[id]?.let { return it }
            }
            queue += if (toNeighbour) neighbours.shuffled(random) else known.keys.shuffled(random)
        }
        return null
    }

    fun isProbing(id: InstanceId): Boolean = probes.values.any { it.target.id == id }

    /** Starts a probe and returns its sequence number. */
    fun start(target: MemberRecord, now: Long): Long {
        probes[++sequence] = Probe(target, Stage.DIRECT, now + timeout())
        return sequence
    }

    /** Starts a probe of a failed member; it never leads to a suspicion. */
    fun retry(): Long = ++sequence

    /** Starts a probe of a member for [requester]. */
    fun startIndirect(requester: MemberRecord, requestSequence: Long, now: Long): Long {
        val deadline = now + timings.probeTimeout.inWholeMilliseconds * INDIRECT_PERCENT / PERCENT
        indirectProbes[++sequence] = IndirectProbe(requester, requestSequence, deadline)
        return sequence
    }

    /** Handles an ack; the effects pass it on if the probe was for another instance. */
    fun acknowledged(message: SwimMessage, self: MemberRecord): List<Effect> {
        if (probes.remove(message.sequence) != null) health.answered()
        val indirect = indirectProbes.remove(message.sequence) ?: return emptyList()
        return listOf(answer(SwimKind.ACK, indirect, message.sender, self))
    }

    fun refused(sequence: Long) {
        probes[sequence]?.let { it.answers++ }
    }

    /** Drops probes whose timeouts elapsed during a pause of this process. */
    fun forgetAll() {
        probes.clear()
        indirectProbes.clear()
    }

    fun advance(now: Long, live: List<MemberRecord>, self: MemberRecord): Progress {
        val effects = ArrayList<Effect>()
        val unanswered = ArrayList<InstanceId>()
        val due = probes.filterValues { it.deadline <= now }
        for ((number, probe) in due) {
            when (probe.stage) {
                Stage.DIRECT -> effects += reconnect(number, probe, now, self)
                Stage.RECONNECTED -> effects += askHelpers(number, probe, now, live, self)
                Stage.INDIRECT -> finish(number, probe)?.let { unanswered += it }
            }
        }
        indirectProbes.filterValues { it.deadline <= now }.forEach { (number, indirect) ->
            indirectProbes.remove(number)
            effects += answer(SwimKind.NACK, indirect, null, self)
        }
        return Progress(effects, unanswered)
    }

    private fun reconnect(number: Long, probe: Probe, now: Long, self: MemberRecord): List<Effect> {
        probe.stage = Stage.RECONNECTED
        probe.deadline = now + timeout()
        val ping = SwimMessage(SwimKind.PING.ordinal, number, self)
        val target = probe.target
        return listOf(Effect.Reconnect(target.id), Effect.Send(target.id, target.address, ping))
    }

    private fun askHelpers(
        number: Long,
        probe: Probe,
        now: Long,
        live: List<MemberRecord>,
        self: MemberRecord
    ): List<Effect> {
        val target = probe.target
        val candidates = live.filter { it.id != target.id && it.state == MemberState.ALIVE }
        val helpers = candidates.shuffled(random).take(timings.indirectProbes)
        probe.stage = Stage.INDIRECT
        probe.helpers = helpers.size
        probe.deadline = now + if (helpers.isEmpty()) 0 else timeout()
        val request = SwimMessage(SwimKind.PING_REQUEST.ordinal, number, self, target)
        return helpers.map { Effect.Send(it.id, it.address, request) }
    }

    /**
     * Ends a probe; returns the target if it is to be suspected. If no helper answered either, the
     * fault may be on this side, so the target is suspected only once local health is at its worst.
     */
    private fun finish(number: Long, probe: Probe): InstanceId? {
        probes.remove(number)
        if (probe.helpers == 0 || probe.answers > 0 || health.isWorst) return probe.target.id
        health.degraded(by = LocalHealth.UNANSWERED_PENALTY)
        return null
    }

    private fun answer(
        kind: SwimKind,
        indirect: IndirectProbe,
        target: MemberRecord?,
        self: MemberRecord
    ): Effect = indirect.requester.let {
        Effect.Send(it.id, it.address, SwimMessage(kind.ordinal, indirect.sequence, self, target))
    }

    private fun timeout(): Long = health.stretch(timings.probeTimeout)

    private companion object {
        /** Leaves a helper's negative answer a part of the requester's timeout to travel back. */
        const val INDIRECT_PERCENT = 80
        const val PERCENT = 100
    }
}
