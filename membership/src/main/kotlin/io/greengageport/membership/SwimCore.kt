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
 *
 * The caller passes the time in monotonic milliseconds, calls [tick] about every 100 ms and
 * [receive] for each message, and carries out the returned effects. Member state has one lock; the
 * items have their own, so that a message that carries only items does not wait for it.
 */
internal class SwimCore(
    self: MemberRecord,
    private val timings: PeerTimings,
    private val random: Random
) {
    private val lock = ReentrantLock()
    private val store = ItemStore(timings.maxItems, timings.maxItemBytes)
    private val itemRumours = RumourQueue<GossipItem> { it.size }
    private val table = MemberTable(self, timings)
    private val health = LocalHealth(timings.pauseThreshold)
    private val prober = Prober(timings, random, health)
    private val sender = GossipSender(timings.gossipBytesPerSecond, itemRumours)
    private val synchroniser = Synchroniser(table, store, random)
    private val seeds = LinkedHashSet<String>()
    private val schedule = Schedule(timings, random)
    private var neighbours: Set<InstanceId> = emptySet()
    private var wantedItems = 0
    private var isCatchingUp = false
    private var isViewStale = false

    /** Live members, this instance included, sorted by id. */
    @Volatile
    var view: PersistentList<Member> = persistentListOf(self.toMember())
        private set

    val healthScore: Int get() = lock.withLock { health.score }

    fun addSeeds(addresses: Collection<String>) = lock.withLock {
        seeds += addresses.filter { it != table.self.address }
        while (seeds.size > MAX_SEEDS) seeds.remove(seeds.first())
    }

    fun find(id: InstanceId): MemberRecord? = lock.withLock { table.find(id) }

    fun neighbours(): Set<InstanceId> = lock.withLock { neighbours }

    fun items(now: Long): List<GossipItem> = store.all(now)

    /** The version held of the topic and key of [item]. */
    fun versionOf(item: GossipItem, now: Long): Long? =
        store.find(item.idHash().value, now)?.version

    /** Publishes an item of this instance; no effect if a newer version is known. */
    fun publish(item: GossipItem, now: Long): List<Effect> = acceptItem(item, null, now)

    fun tick(now: Long): List<Effect> = lock.withLock {
        val effects = ArrayList<Effect>()
        val pause = health.pauseBefore(now)
        if (pause > 0) {
            prober.forgetAll()
            table.extendSuspicions(pause + timings.suspicionTimeout.inWholeMilliseconds)
        }
        val live = table.livePeers()
        val progress = prober.advance(now, live, table.self)
        effects += progress.effects
        progress.unanswered.forEach { id -> effects += note(table.suspect(id, now), id, null) }
        table.expire(now).forEach { effects += note(it, it.id, null) }
        if (schedule.isProbeDue(now)) {
            prober.next(live, neighbours)?.let { effects += probe(it, now) }
        }
        effects += retryFailed(now) + synchronise(live, now) + contactSeed(live, now)
        if (schedule.isExpiryDue(now)) store.expire(now)
        val peers = neighbours.mapNotNull { table.find(it) }
        effects += sender.flood(peers, table.size, now)
        refreshView()
        effects
    }

    fun receive(from: InstanceId, message: SwimMessage, now: Long): List<Effect> {
        val effects = ArrayList<Effect>()
        val isRumour = message.kind < SwimKind.SYNC || message.sequence != Synchroniser.JOINING
        message.items.forEach { effects += acceptItem(it, from, now, isRumour) }
        if (message.kind == SwimKind.GOSSIP && message.events.isEmpty()) return effects
        return lock.withLock {
            val isSync = message.kind >= SwimKind.SYNC
            listOfNotNull(message.sender, message.target).forEach { record ->
                effects += note(table.merge(record, now), record.id, from)
            }
            for (record in message.events) {
                val notice =
                    if (isSync) table.mergeFromSync(record, now) else table.merge(record, now)
                if (notice == null) sender.heard(record, from)
                effects += note(notice, record.id, from, isRumour)
            }
            effects += respond(from, message, now)
            refreshView()
            effects
        }
    }

    /** Probes [id] outside the usual order, for example after a call to it timed out. */
    fun probeSoon(id: InstanceId, now: Long): List<Effect> = lock.withLock {
        table.find(id)?.takeIf { it.isLive && !prober.isProbing(id) }?.let { probe(it, now) }
            .orEmpty()
    }

    /** Announces that this instance leaves; it still answers until it stops. */
    fun leave() = lock.withLock {
        table.leave()
        isViewStale = true
        refreshView()
        sender.add(table.self, null)
    }

    /** The last message of an instance that left; from then on it refutes nothing. */
    fun depart(): List<Effect> = lock.withLock {
        val last = table.depart()
        val message = SwimMessage(SwimKind.GOSSIP.ordinal, events = listOf(last))
        neighbours.mapNotNull { table.find(it) }.map { Effect.Send(it.id, it.address, message) }
    }

    private fun respond(from: InstanceId, message: SwimMessage, now: Long): List<Effect> =
        when (message.kind) {
            SwimKind.PING -> listOf(Effect.Reply(ack(from, message)))

            SwimKind.ACK -> {
                table.answered(from)
                prober.acknowledged(message, table.self)
            }

            SwimKind.PING_REQUEST -> probeForPeer(message, now)

            SwimKind.NACK -> emptyList<Effect>().also { prober.refused(message.sequence) }

            SwimKind.GOSSIP -> emptyList()

            SwimKind.SYNC -> reply(synchroniser.difference(message))

            SwimKind.SYNC_DIFFERENCE -> reply(
                synchroniser.update(message, now)?.also { wantedItems = it.wanted.size }
            )

            SwimKind.SYNC_UPDATE -> reply(synchroniser.items(message, now))

            SwimKind.SYNC_ITEMS -> emptyList<Effect>().also {
                isCatchingUp = message.sequence == Synchroniser.JOINING &&
                    message.items.size < wantedItems
                if (isCatchingUp) schedule.synchroniseSoon(now)
            }
        }

    private fun probe(target: MemberRecord, now: Long): List<Effect> {
        val number = prober.start(target, now)
        return listOf(Effect.Send(target.id, target.address, ping(number, target)))
    }

    private fun ping(number: Long, target: MemberRecord): SwimMessage {
        val notAlive = target.takeIf { it.state != MemberState.ALIVE }
        val message = SwimMessage(SwimKind.PING.ordinal, number, table.self, notAlive)
        return sender.piggyback(message, target.id, table.size)
    }

    private fun ack(from: InstanceId, ping: SwimMessage): SwimMessage {
        val notAlive = table.find(from)?.takeIf { it.state != MemberState.ALIVE }
        val message = SwimMessage(SwimKind.ACK.ordinal, ping.sequence, table.self, notAlive)
        return sender.piggyback(message, from, table.size)
    }

    private fun probeForPeer(message: SwimMessage, now: Long): List<Effect> {
        val requester = message.sender ?: return emptyList()
        val asked = message.target ?: return emptyList()
        val target = table.find(asked.id) ?: asked
        val number = prober.startIndirect(requester, message.sequence, now)
        return listOf(Effect.Send(target.id, target.address, ping(number, target)))
    }

    private fun retryFailed(now: Long): List<Effect> {
        if (!schedule.isRetryDue(now)) return emptyList()
        val failed = table.unreachable().randomOrNull(random) ?: return emptyList()
        return listOf(Effect.Send(failed.id, failed.address, ping(prober.retry(), failed)))
    }

    private fun synchronise(live: List<MemberRecord>, now: Long): List<Effect> {
        if (live.isEmpty() || !schedule.isSyncDue(now)) return emptyList()
        val peer = live.random(random)
        return listOf(Effect.Send(peer.id, peer.address, synchroniser.open(isCatchingUp)))
    }

    private fun contactSeed(live: List<MemberRecord>, now: Long): List<Effect> {
        val isJoining = live.isEmpty()
        if (seeds.isEmpty() || !schedule.isSeedDue(now, isJoining)) return emptyList()
        val known = live.mapTo(HashSet()) { it.address }
        val seed = seeds.filter { it !in known }.randomOrNull(random) ?: return emptyList()
        return listOf(Effect.Send(null, seed, synchroniser.open(isJoining)))
    }

    private fun reply(message: SwimMessage?): List<Effect> =
        listOfNotNull(message?.let { Effect.Reply(it) })

    /** Items that an instance gets when it joins are known to the others and not sent on. */
    private fun acceptItem(
        item: GossipItem,
        source: InstanceId?,
        now: Long,
        isRumour: Boolean = true
    ): List<Effect> {
        val key = "${item.topic}\u0000${item.key}"
        if (!store.merge(item, now)) {
            source?.let { itemRumours.heard(key, it) { held -> held.version == item.version } }
            return emptyList()
        }
        if (isRumour) itemRumours.add(key, item, source)
        return listOf(Effect.Deliver(item, isOwn = source == null))
    }

    private fun note(
        notice: MemberNotice?,
        id: InstanceId,
        source: InstanceId?,
        isRumour: Boolean = true
    ): List<Effect> {
        if (notice == null) return emptyList()
        isViewStale = true
        if (notice is MemberNotice.Refuted) {
            if (notice.claimed == MemberState.SUSPECT) health.degraded()
            sender.add(table.self, null)
        } else if (isRumour) {
            table.find(id)?.let { sender.add(it, source) }
        }
        return listOf(Effect.Notice(notice))
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
