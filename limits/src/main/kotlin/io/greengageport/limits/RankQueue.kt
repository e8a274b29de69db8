package io.greengageport.limits

import io.greengageport.common.OrganisationName
import java.util.TreeSet

/**
 * The queued requests of one rank: start-time fair queueing between organisations, earliest
 * deadline first within an organisation.
 *
 * Each organisation has a virtual start tag. The smallest tag is served, sets the virtual time and
 * grows by work divided by weight. An organisation that becomes active starts at the virtual time,
 * so that it neither saves up service while idle nor waits for the backlog of others. Over any
 * interval in which two organisations are both backlogged, their work per weight differs by at most
 * one request of each. Tags outlive an empty queue: resetting them raised the p95 wait of small
 * callers by a third at light overload, where the queue is often empty.
 */
internal class RankQueue(var policy: RankPolicy) {
    private val organisations = HashMap<OrganisationName, OrganisationQueue>()
    private val byTag = TreeSet(compareBy(OrganisationQueue::tag, OrganisationQueue::order))
    private val byWork = TreeSet(compareBy(OrganisationQueue::tokens, OrganisationQueue::order))
    private var nextOrder = 0L
    private var sweepAt = FIRST_SWEEP
    private var activeWeight = 0.0

    /** Start tag of the organisation served last. */
    var virtualTime: Double = 0.0
        private set

    /** Tokens of service that the floor owes to this rank; negative when it is ahead. */
    var credit: Double = 0.0

    /** Polled requests that have not ended. */
    var running: Int = 0

    var size: Int = 0
        private set

    var tokens: Long = 0
        private set

    /** Number of organisations in memory, idle ones included. */
    val knownOrganisations: Int get() = organisations.size

    fun isEmpty(): Boolean = size == 0

    fun add(entry: Entry, weight: Double) {
        sweep()
        entry.rank = this
        val o = organisations.getOrPut(entry.request.organisation) {
            OrganisationQueue(weight, nextOrder++)
        }
        change(o) {
            if (o.entries.isEmpty()) {
                o.weight = weight
                o.tag = maxOf(o.tag, virtualTime)
            }
            o.entries.add(entry)
        }
        size++
        tokens += entry.tokens
    }

    fun remove(entry: Entry) {
        val o = organisations.getValue(entry.request.organisation)
        change(o) { o.entries.remove(entry) }
        size--
        tokens -= entry.tokens
    }

    /** Takes the request to serve next. */
    fun poll(): Entry {
        val o = byTag.first()
        val entry = checkNotNull(o.entries.first())
        virtualTime = o.tag
        change(o) {
            o.entries.remove(entry)
            o.tag += entry.tokens / o.weight
            o.running++
        }
        size--
        tokens -= entry.tokens
        return entry
    }

    /** Corrects the tag of [organisation] when a request that was polled here ends. */
    fun complete(organisation: OrganisationName, correction: Long) {
        val o = organisations[organisation] ?: return
        change(o) {
            o.running--
            o.tag += correction / o.weight
        }
    }

    /** The request to shed: the latest deadline of the organisation with the most queued work. */
    fun victim(): Entry = checkNotNull(byWork.last().entries.last())

    /**
     * Work of this rank that is served before a new request, in tokens, in the fluid model of fair
     * queueing: the organisation's own work ahead, and as much of the others per weight.
     */
    fun tokensAhead(request: QueuedRequest, weight: Double): Double {
        val o = organisations[request.organisation]
        val lead = if (o == null) 0.0 else maxOf(0.0, o.tag - virtualTime) * o.weight
        val own = lead + (o?.entries?.tokensUntil(request.deadlineMillis) ?: 0L)
        val isActive = o != null && !o.entries.isEmpty()
        val others = if (isActive) activeWeight - o.weight else activeWeight
        return minOf(tokens.toDouble(), own * (1 + others / weight))
    }

    fun entries(): List<Entry> = byTag.flatMap { it.entries.toList() }

    fun updateWeights(weightOf: (OrganisationName) -> Double) {
        for ((name, o) in organisations) change(o) { o.weight = weightOf(name) }
    }

    /** Applies [block] to [o] while it is out of the sorted sets that depend on its fields. */
    private inline fun change(o: OrganisationQueue, block: () -> Unit) {
        if (!o.entries.isEmpty()) {
            byTag.remove(o)
            byWork.remove(o)
            activeWeight -= o.weight
        }
        block()
        if (!o.entries.isEmpty()) {
            byTag.add(o)
            byWork.add(o)
            activeWeight += o.weight
        } else if (byTag.isEmpty()) {
            // Removes the rounding error of the running sum.
            activeWeight = 0.0
        }
    }

    /**
     * Forgets idle organisations. The virtual time first moves up to the queued tags, since the
     * requests of ever new organisations would not move it. Doubling the threshold makes it O(1)
     * amortised.
     */
    private fun sweep() {
        if (organisations.size < sweepAt) return
        virtualTime = if (isEmpty()) organisations.values.maxOf { it.tag } else byTag.first().tag
        organisations.values.removeIf {
            it.entries.isEmpty() && it.running <= 0 && it.tag <= virtualTime
        }
        sweepAt = maxOf(FIRST_SWEEP, 2 * organisations.size)
    }

    private companion object {
        const val FIRST_SWEEP = 1_024
    }
}

/** The queued requests of one organisation in one rank. */
internal class OrganisationQueue(var weight: Double, val order: Long) {
    val entries = DeadlineTree()
    var tag: Double = 0.0
    var running: Int = 0
    val tokens: Long get() = entries.tokens
}
