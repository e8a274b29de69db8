package io.greengageport.membership

import io.greengageport.common.InstanceId
import kotlin.random.Random

/** I/O that [SwimCore] returns to its caller, who must perform it in order. */
internal sealed interface Effect {
    /** Sends [message] to the member at [address]; [to] is null for a seed of unknown id. */
    data class Send(val to: InstanceId?, val address: String, val message: SwimMessage) : Effect

    /** Sends [message] on the connection on which the received message arrived. */
    data class Reply(val message: SwimMessage) : Effect

    /** Closes the connection to [peer]; the next message opens a new one. */
    data class Reconnect(val peer: InstanceId) : Effect

    data class LogChange(val change: MemberChange) : Effect

    /** Delivers a newer item to the listeners; [isLocal] is true if this instance published it. */
    data class Deliver(val item: GossipItem, val isLocal: Boolean) : Effect
}

/**
 * The failure detector of one instance. Times are monotonic milliseconds. Not thread-safe.
 *
 * A probe pings the target over the open connection, then over a new one, then through helpers. The
 * target is suspected only if all three stages time out. Every second probe goes to a neighbour,
 * which detects silent connections of the overlay early and avoids opening connections. The other
 * probes follow a shuffled round robin over all members, so that each instance probes each member
 * in bounded time.
 */
internal class Prober(
    private val timings: PeerTimings,
    private val random: Random,
    private val health: LocalHealth
) {
    private enum class Stage { DIRECT, RECONNECTED, INDIRECT }

    private class Probe(val target: MemberRecord, var stage: Stage, var deadlineMillis: Long) {
        var helperCount = 0
        var nackCount = 0
    }

    private class IndirectProbe(
        val requester: MemberRecord,
        val sequence: Long,
        val deadlineMillis: Long
    )

    /** Messages to send and targets to suspect after a call of [advance]. */
    class Outcome(val effects: List<Effect>, val unanswered: List<InstanceId>)

    private val probes = LinkedHashMap<Long, Probe>()
    private val indirectProbes = LinkedHashMap<Long, IndirectProbe>()
    private val probeQueue = ArrayDeque<InstanceId>()
    private val neighbourQueue = ArrayDeque<InstanceId>()
    private var lastSequence = 0L
    private var selectionCount = 0

    /** Returns the next member to probe, or null if there is none. */
    fun nextTarget(live: List<MemberRecord>, neighbours: Set<InstanceId>): MemberRecord? {
        if (live.isEmpty()) return null
        val isNeighbourTurn = selectionCount++ % 2 == 0 && neighbours.isNotEmpty()
        val queue = if (isNeighbourTurn) neighbourQueue else probeQueue
        val known = live.associateBy { it.id }
        repeat(2) {
            while (queue.isNotEmpty()) {
                val id = queue.removeFirst()
                if (!isNeighbourTurn || id in neighbours) known[id]?.let { return it }
            }
            queue +=
                if (isNeighbourTurn) neighbours.shuffled(random) else known.keys.shuffled(random)
        }
        return null
    }

    fun isProbing(id: InstanceId): Boolean = probes.values.any { it.target.id == id }

    /** Starts a probe and returns its sequence number. */
    fun start(target: MemberRecord, now: Long): Long {
        probes[++lastSequence] = Probe(target, Stage.DIRECT, now + timeoutMillis())
        return lastSequence
    }

    /** Returns a sequence number to ping a failed member, without a probe that could time out. */
    fun startRetry(): Long = ++lastSequence

    /** Starts a probe on behalf of [requester] and returns its sequence number. */
    fun startIndirect(requester: MemberRecord, requestSequence: Long, now: Long): Long {
        val deadlineMillis = now +
            timings.probeTimeout.inWholeMilliseconds * INDIRECT_TIMEOUT_PERCENT / PERCENT
        indirectProbes[++lastSequence] = IndirectProbe(requester, requestSequence, deadlineMillis)
        return lastSequence
    }

    /** Handles an ack; it is forwarded if the probe was on behalf of another instance. */
    fun handleAck(message: SwimMessage, self: MemberRecord): List<Effect> {
        if (probes.remove(message.sequence) != null) health.recordAnswer()
        val indirect = indirectProbes.remove(message.sequence) ?: return emptyList()
        return listOf(indirectResult(SwimKind.ACK, indirect, message.sender, self))
    }

    /** Records that a helper is reachable but got no answer from the target. */
    fun handleNack(sequence: Long) {
        probes[sequence]?.let { it.nackCount++ }
    }

    /** Drops all probes, because a pause of this process makes their timeouts meaningless. */
    fun cancelAll() {
        probes.clear()
        indirectProbes.clear()
    }

    /** Moves probes that timed out to their next stage or ends them. */
    fun advance(now: Long, live: List<MemberRecord>, self: MemberRecord): Outcome {
        val effects = ArrayList<Effect>()
        val unanswered = ArrayList<InstanceId>()
        val due = probes.filterValues { it.deadlineMillis <= now }
        for ((sequence, probe) in due) {
            when (probe.stage) {
                Stage.DIRECT -> effects += reconnectAndPing(sequence, probe, now, self)

                Stage.RECONNECTED ->
                    effects += requestIndirectProbes(sequence, probe, now, live, self)

                Stage.INDIRECT -> finishProbe(sequence, probe)?.let { unanswered += it }
            }
        }
        indirectProbes.filterValues { it.deadlineMillis <= now }.forEach { (sequence, indirect) ->
            indirectProbes.remove(sequence)
            effects += indirectResult(SwimKind.NACK, indirect, null, self)
        }
        return Outcome(effects, unanswered)
    }

    private fun reconnectAndPing(
        sequence: Long,
        probe: Probe,
        now: Long,
        self: MemberRecord
    ): List<Effect> {
        probe.stage = Stage.RECONNECTED
        probe.deadlineMillis = now + timeoutMillis()
        val ping = SwimMessage(SwimKind.PING.ordinal, sequence, self)
        val target = probe.target
        return listOf(Effect.Reconnect(target.id), Effect.Send(target.id, target.address, ping))
    }

    private fun requestIndirectProbes(
        sequence: Long,
        probe: Probe,
        now: Long,
        live: List<MemberRecord>,
        self: MemberRecord
    ): List<Effect> {
        val target = probe.target
        val candidates = live.filter { it.id != target.id && it.state == MemberState.ALIVE }
        val helpers = candidates.shuffled(random).take(timings.indirectProbes)
        probe.stage = Stage.INDIRECT
        probe.helperCount = helpers.size
        probe.deadlineMillis = now + if (helpers.isEmpty()) 0 else timeoutMillis()
        val request = SwimMessage(SwimKind.PING_REQUEST.ordinal, sequence, self, target)
        return helpers.map { Effect.Send(it.id, it.address, request) }
    }

    /**
     * Ends a probe and returns its target if that is to be suspected. If no helper answered either,
     * the fault may be local, so the target is suspected only when local health is at its worst.
     */
    private fun finishProbe(sequence: Long, probe: Probe): InstanceId? {
        probes.remove(sequence)
        if (probe.helperCount == 0 || probe.nackCount > 0 || health.isWorst) return probe.target.id
        health.degrade(points = LocalHealth.UNANSWERED_PENALTY)
        return null
    }

    private fun indirectResult(
        kind: SwimKind,
        indirect: IndirectProbe,
        target: MemberRecord?,
        self: MemberRecord
    ): Effect = indirect.requester.let {
        Effect.Send(it.id, it.address, SwimMessage(kind.ordinal, indirect.sequence, self, target))
    }

    private fun timeoutMillis(): Long = health.scaleTimeout(timings.probeTimeout)

    private companion object {
        /** Share of the requester's timeout; the rest is left for the nack to arrive in time. */
        const val INDIRECT_TIMEOUT_PERCENT = 80
        const val PERCENT = 100
    }
}
