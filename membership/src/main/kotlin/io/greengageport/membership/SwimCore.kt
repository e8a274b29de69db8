package io.greengageport.membership

import io.greengageport.common.InstanceId
import io.greengageport.common.Member
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The peer protocol of one instance without I/O: failure detection, member view and gossip.
 * Thread-safe.
 *
 * The caller passes the time in monotonic milliseconds, calls [tick] about every 100 ms and
 * [receive] for each message, and performs the returned effects. One lock guards the member state;
 * items have separate locks, so that a message with only items does not wait for it.
 */
internal class SwimCore(
    self: MemberRecord,
    private val timings: PeerTimings,
    private val random: Random
) {
    private val lock = ReentrantLock()
    private val store = ItemStore(timings.maxItems, timings.maxItemBytes)
    private val itemQueue = RumourQueue<GossipItem> { it.size }
    private val table = MemberTable(self, timings)
    private val health = LocalHealth(timings.pauseThreshold)
    private val prober = Prober(timings, random, health)
    private val sender = GossipSender(timings.gossipBytesPerSecond, itemQueue)
    private val synchroniser = Synchroniser(table, store, random)
    private val seeds = LinkedHashSet<String>()
    private val schedule = Schedule(timings, random)
    private var neighbours: Set<InstanceId> = emptySet()

    /** Number of items requested in the last anti-entropy exchange. */
    private var wantedItemCount = 0

    /** True after a joining exchange that did not transfer all wanted items. */
    private var isCatchingUp = false

    /** True if [view] and [neighbours] must be computed again. */
    private var isViewStale = false

    /** Live members, this instance included, sorted by id. */
    @Volatile
    var view: PersistentList<Member> = persistentListOf(self.toMember())
        private set

    val healthScore: Int get() = lock.withLock { health.score }

    /** Adds peer addresses `ip:port`; drops the oldest ones beyond [MAX_SEEDS]. */
    fun addSeeds(addresses: Collection<String>) = lock.withLock {
        seeds += addresses.filter { it != table.self.address }
        while (seeds.size > MAX_SEEDS) seeds.remove(seeds.first())
    }

    fun find(id: InstanceId): MemberRecord? = lock.withLock { table.find(id) }

    fun neighbours(): Set<InstanceId> = lock.withLock { neighbours }

    /** Returns all known items with their remaining lifetimes. */
    fun items(now: Long): List<GossipItem> = store.all(now)

    /** Returns the known version of the topic and key of [item]; null if unknown or expired. */
    fun versionOf(item: GossipItem, now: Long): Long? =
        store.find(item.idHash().value, now)?.version

    /** Publishes an item of this instance; does nothing if a newer version is known. */
    fun publish(item: GossipItem, now: Long): List<Effect> = acceptItem(item, null, now)

    /** Performs all periodic work that is due. */
    fun tick(now: Long): List<Effect> = lock.withLock {
        val effects = ArrayList<Effect>()
        val pauseMillis = health.detectPause(now)
        if (pauseMillis > 0) {
            prober.cancelAll()
            table.extendSuspicions(pauseMillis + timings.suspicionTimeout.inWholeMilliseconds)
        }
        val live = table.livePeers()
        val outcome = prober.advance(now, live, table.self)
        effects += outcome.effects
        outcome.unanswered.forEach { id ->
            effects += handleChange(table.suspect(id, now), id, null)
        }
        table.expire(now).forEach { effects += handleChange(it, it.id, null) }
        if (schedule.isProbeDue(now)) {
            prober.nextTarget(live, neighbours)?.let { effects += probe(it, now) }
        }
        effects += retryFailedMember(now) + synchronise(live, now) + contactSeed(live, now)
        if (schedule.isExpiryDue(now)) store.removeExpired(now)
        val peers = neighbours.mapNotNull { table.find(it) }
        effects += sender.flood(peers, table.size, now)
        refreshView()
        effects
    }

    /** Handles a [message] of the authenticated peer [from]. */
    fun receive(from: InstanceId, message: SwimMessage, now: Long): List<Effect> {
        val effects = ArrayList<Effect>()
        val shouldSpread =
            message.kind < SwimKind.SYNC || message.sequence != Synchroniser.JOIN_SEQUENCE
        message.items.forEach { effects += acceptItem(it, from, now, shouldSpread) }
        if (message.kind == SwimKind.GOSSIP && message.events.isEmpty()) return effects
        return lock.withLock {
            val isSync = message.kind >= SwimKind.SYNC
            listOfNotNull(message.sender, message.target).forEach { record ->
                effects += handleChange(table.merge(record, now), record.id, from)
            }
            for (record in message.events) {
                val change =
                    if (isSync) table.mergeFromSync(record, now) else table.merge(record, now)
                if (change == null) sender.markKnown(record, from)
                effects += handleChange(change, record.id, from, shouldSpread)
            }
            effects += respond(from, message, now)
            refreshView()
            effects
        }
    }

    /** Probes [id] at once, for example after a call to it timed out. */
    fun probeNow(id: InstanceId, now: Long): List<Effect> = lock.withLock {
        table.find(id)?.takeIf { it.isLive && !prober.isProbing(id) }?.let { probe(it, now) }
            .orEmpty()
    }

    /** Marks this instance as leaving and gossips that; it still answers until it stops. */
    fun announceLeaving() = lock.withLock {
        table.markLeaving()
        isViewStale = true
        refreshView()
        sender.addEvent(table.self, null)
    }

    /** Tells the neighbours that this instance left; afterwards it refutes no records of itself. */
    fun announceLeft(): List<Effect> = lock.withLock {
        val finalRecord = table.markLeft()
        val message = SwimMessage(SwimKind.GOSSIP.ordinal, events = listOf(finalRecord))
        neighbours.mapNotNull { table.find(it) }.map { Effect.Send(it.id, it.address, message) }
    }

    private fun respond(from: InstanceId, message: SwimMessage, now: Long): List<Effect> =
        when (message.kind) {
            SwimKind.PING -> listOf(Effect.Reply(ack(from, message)))

            SwimKind.ACK -> {
                table.recordAnswer(from)
                prober.handleAck(message, table.self)
            }

            SwimKind.PING_REQUEST -> probeForPeer(message, now)

            SwimKind.NACK -> emptyList<Effect>().also { prober.handleNack(message.sequence) }

            SwimKind.GOSSIP -> emptyList()

            SwimKind.SYNC -> reply(synchroniser.answerDigests(message))

            SwimKind.SYNC_DIFFERENCE -> reply(
                synchroniser.answerDifference(message, now)
                    ?.also { wantedItemCount = it.wanted.size }
            )

            SwimKind.SYNC_UPDATE -> reply(synchroniser.answerWanted(message, now))

            SwimKind.SYNC_ITEMS -> emptyList<Effect>().also {
                isCatchingUp = message.sequence == Synchroniser.JOIN_SEQUENCE &&
                    message.items.size < wantedItemCount
                if (isCatchingUp) schedule.scheduleSyncSoon(now)
            }
        }

    private fun probe(target: MemberRecord, now: Long): List<Effect> {
        val sequence = prober.start(target, now)
        return listOf(Effect.Send(target.id, target.address, ping(sequence, target)))
    }

    private fun ping(sequence: Long, target: MemberRecord): SwimMessage {
        val nonAliveRecord = target.takeIf { it.state != MemberState.ALIVE }
        val message = SwimMessage(SwimKind.PING.ordinal, sequence, table.self, nonAliveRecord)
        return sender.piggyback(message, target.id, table.size)
    }

    private fun ack(from: InstanceId, ping: SwimMessage): SwimMessage {
        val nonAliveRecord = table.find(from)?.takeIf { it.state != MemberState.ALIVE }
        val message = SwimMessage(SwimKind.ACK.ordinal, ping.sequence, table.self, nonAliveRecord)
        return sender.piggyback(message, from, table.size)
    }

    /** Pings the target of an indirect probe on behalf of its requester. */
    private fun probeForPeer(message: SwimMessage, now: Long): List<Effect> {
        val requester = message.sender ?: return emptyList()
        val requested = message.target ?: return emptyList()
        val target = table.find(requested.id) ?: requested
        val sequence = prober.startIndirect(requester, message.sequence, now)
        return listOf(Effect.Send(target.id, target.address, ping(sequence, target)))
    }

    /** Pings a random failed member, which may be reachable again after a partition. */
    private fun retryFailedMember(now: Long): List<Effect> {
        if (!schedule.isRetryDue(now)) return emptyList()
        val failed = table.unreachableMembers().randomOrNull(random) ?: return emptyList()
        return listOf(Effect.Send(failed.id, failed.address, ping(prober.startRetry(), failed)))
    }

    private fun synchronise(live: List<MemberRecord>, now: Long): List<Effect> {
        if (live.isEmpty() || !schedule.isSyncDue(now)) return emptyList()
        val peer = live.random(random)
        return listOf(Effect.Send(peer.id, peer.address, synchroniser.startExchange(isCatchingUp)))
    }

    private fun contactSeed(live: List<MemberRecord>, now: Long): List<Effect> {
        val isJoining = live.isEmpty()
        if (seeds.isEmpty() || !schedule.isSeedDue(now, isJoining)) return emptyList()
        val known = live.mapTo(HashSet()) { it.address }
        val seed = seeds.filter { it !in known }.randomOrNull(random) ?: return emptyList()
        return listOf(Effect.Send(null, seed, synchroniser.startExchange(isJoining)))
    }

    private fun reply(message: SwimMessage?): List<Effect> =
        listOfNotNull(message?.let { Effect.Reply(it) })

    /** Items received in a joining exchange are not spread, because other peers have them. */
    private fun acceptItem(
        item: GossipItem,
        source: InstanceId?,
        now: Long,
        shouldSpread: Boolean = true
    ): List<Effect> {
        val key = "${item.topic}\u0000${item.key}"
        if (!store.merge(item, now)) {
            source?.let {
                itemQueue.markKnown(key, it) { knownItem -> knownItem.version == item.version }
            }
            return emptyList()
        }
        if (shouldSpread) itemQueue.add(key, item, source)
        return listOf(Effect.Deliver(item, isLocal = source == null))
    }

    /** Spreads a change of the member view and returns the effect that logs it. */
    private fun handleChange(
        change: MemberChange?,
        id: InstanceId,
        source: InstanceId?,
        shouldSpread: Boolean = true
    ): List<Effect> {
        if (change == null) return emptyList()
        isViewStale = true
        if (change is MemberChange.Refuted) {
            if (change.claimed == MemberState.SUSPECT) health.degrade()
            sender.addEvent(table.self, null)
        } else if (shouldSpread) {
            table.find(id)?.let { sender.addEvent(it, source) }
        }
        return listOf(Effect.LogChange(change))
    }

    private fun refreshView() {
        if (!isViewStale) return
        isViewStale = false
        val live = table.livePeers()
        view = (live + table.self).map { it.toMember() }.sortedBy { it.id }.toPersistentList()
        neighbours = Overlay.neighbours(table.self.id, live.map { it.id })
    }

    private companion object {
        const val MAX_SEEDS = 1_000
    }
}
