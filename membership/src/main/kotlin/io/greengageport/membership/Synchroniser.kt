package io.greengageport.membership

import kotlin.random.Random

/**
 * Anti-entropy between two instances: they compare digests per bucket and exchange only what
 * differs, so that events and items lost on the way, before joining or during a partition arrive.
 *
 * The exchange has four messages: digests, differing records with item summaries, newer records
 * and items with the ids of wanted items, and those items. Each is bounded; what does not fit
 * follows in a later exchange. Not thread-safe.
 */
internal class Synchroniser(
    private val table: MemberTable,
    private val store: ItemStore,
    private val random: Random
) {
    /** Bounds of one message of an exchange. */
    private class Bounds(val records: Int, val summaries: Int, val itemBytes: Int)

    fun open(isJoining: Boolean): SwimMessage = SwimMessage(
        SwimKind.SYNC.ordinal,
        sequence = if (isJoining) JOINING else 0,
        sender = table.self,
        memberDigest = table.digest(),
        itemDigest = store.digest()
    )

    /** Answers digests; null if nothing differs. */
    fun difference(message: SwimMessage): SwimMessage? {
        val memberBuckets = differing(message.memberDigest, table.digest())
        val itemBuckets = differing(message.itemDigest, store.digest())
        if (memberBuckets.isEmpty() && itemBuckets.isEmpty()) return null
        val bounds = boundsOf(message)
        val summaries = summarise(itemBuckets, bounds.summaries)
        val records = table.all().filter { MemberTable.bucketOf(it) in memberBuckets }
        return SwimMessage(
            SwimKind.SYNC_DIFFERENCE.ordinal,
            message.sequence,
            table.self,
            events = records.shuffled(random).take(bounds.records),
            summaries = summaries.values.flatten(),
            memberBuckets = memberBuckets.toList(),
            itemBuckets = summaries.keys.toList()
        )
    }

    /** Answers a difference with what is newer here and asks for what is newer there. */
    fun update(message: SwimMessage, now: Long): SwimMessage? {
        val known = message.events.associateBy { it.id }
        val newer = table.all().filter { MemberTable.bucketOf(it) in message.memberBuckets }
            .filter { own -> known[own.id]?.let { own > it } ?: own.isLive }
            .shuffled(random).take(boundsOf(message).records)
        val theirs = message.summaries.associateBy { it.idHash }
        val ours = message.itemBuckets.filter { it in 0 until ItemStore.SHARDS }
            .flatMap { store.summaries(it) }.associateBy { it.idHash }
        val push = ours.values.filter { it != theirs[it.idHash] }
            .filter { own -> theirs[own.idHash].let { it == null || it.version <= own.version } }
        val want = theirs.values.filter { it != ours[it.idHash] }
            .filter { other ->
                ours[other.idHash].let { it == null || it.version <= other.version }
            }
        if (newer.isEmpty() && push.isEmpty() && want.isEmpty()) return null
        return SwimMessage(
            SwimKind.SYNC_UPDATE.ordinal,
            message.sequence,
            table.self,
            events = newer,
            items = collect(push.map { it.idHash }.shuffled(random), boundsOf(message), now),
            wanted = want.map { it.idHash }.shuffled(random).take(MAX_WANTED)
        )
    }

    fun items(message: SwimMessage, now: Long): SwimMessage? =
        collect(message.wanted, boundsOf(message), now)
            .takeIf { it.isNotEmpty() }
            ?.let { SwimMessage(SwimKind.SYNC_ITEMS.ordinal, message.sequence, items = it) }

    /** Summaries of whole buckets in random order, as many buckets as [limit] allows. */
    private fun summarise(buckets: Set<Int>, limit: Int): Map<Int, List<ItemSummary>> {
        var count = 0
        return buckets.shuffled(random).associateWith { store.summaries(it) }
            .filterValues { (count < limit).also { _ -> count += it.size } }
    }

    private fun boundsOf(message: SwimMessage): Bounds =
        if (message.sequence == JOINING) AT_JOIN else PERIODIC

    private fun collect(ids: List<Long>, bounds: Bounds, now: Long): List<GossipItem> {
        var bytes = 0
        return ids.asSequence().mapNotNull { store.find(it, now) }
            .filter { it.remainingMillis >= MIN_REMAINING_MILLIS }
            .takeWhile { item ->
                (bytes + item.size <= bounds.itemBytes).also { bytes += item.size }
            }
            .toList()
    }

    private fun differing(theirs: List<Long>, ours: List<Long>): Set<Int> =
        if (theirs.size == ours.size) {
            ours.indices.filterTo(LinkedHashSet()) { ours[it] != theirs[it] }
        } else {
            emptySet()
        }

    companion object {
        /** Sequence number of the exchange by which an instance joins. */
        const val JOINING = 1L

        /** Keeps a periodic exchange near 10 KB, 1 KB/s at one exchange in 10 s. */
        private val PERIODIC = Bounds(records = 64, summaries = 100, itemBytes = 2 * 1_024)
        private val AT_JOIN = Bounds(records = 2_000, summaries = 5_000, itemBytes = 64 * 1_024)
        private const val MAX_WANTED = 1_000

        /** Items about to expire are not copied, or peers would hand them around at the end. */
        private const val MIN_REMAINING_MILLIS = 2_000L
    }
}
