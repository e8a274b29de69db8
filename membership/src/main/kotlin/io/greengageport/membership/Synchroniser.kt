package io.greengageport.membership

import kotlin.random.Random

/**
 * Anti-entropy between two instances: they compare digests per bucket and exchange only what
 * differs. This repairs lost messages and brings an instance up to date after it joined or was
 * partitioned.
 *
 * The exchange has four messages: digests, differing records with item summaries, newer records
 * and items with the ids of wanted items, and those items. Each message is bounded; a later
 * exchange transfers the rest. Not thread-safe.
 */
internal class Synchroniser(
    private val table: MemberTable,
    private val store: ItemStore,
    private val random: Random
) {
    /** Bounds of one message of an exchange. */
    private class Bounds(val maxRecords: Int, val maxSummaries: Int, val maxItemBytes: Int)

    /**
     * Returns the message with the digests that starts an exchange. If [isJoining], the messages of
     * the exchange have larger bounds.
     */
    fun startExchange(isJoining: Boolean): SwimMessage = SwimMessage(
        SwimKind.SYNC.ordinal,
        sequence = if (isJoining) JOIN_SEQUENCE else 0,
        sender = table.self,
        memberDigest = table.digest(),
        itemDigest = store.digest()
    )

    /** Answers digests with the contents of differing buckets; null if nothing differs. */
    fun answerDigests(message: SwimMessage): SwimMessage? {
        val memberBuckets = differingBuckets(message.memberDigest, table.digest())
        val itemBuckets = differingBuckets(message.itemDigest, store.digest())
        if (memberBuckets.isEmpty() && itemBuckets.isEmpty()) return null
        val bounds = boundsOf(message)
        val summaries = summarise(itemBuckets, bounds.maxSummaries)
        val records = table.all().filter { MemberTable.bucketOf(it) in memberBuckets }
        return SwimMessage(
            SwimKind.SYNC_DIFFERENCE.ordinal,
            message.sequence,
            table.self,
            events = records.shuffled(random).take(bounds.maxRecords),
            summaries = summaries.values.flatten(),
            memberBuckets = memberBuckets.toList(),
            itemBuckets = summaries.keys.toList()
        )
    }

    /** Answers a difference: sends what is newer here and requests what is newer at the peer. */
    fun answerDifference(message: SwimMessage, now: Long): SwimMessage? {
        val known = message.events.associateBy { it.id }
        val newerRecords = table.all().filter { MemberTable.bucketOf(it) in message.memberBuckets }
            .filter { own -> known[own.id]?.let { own > it } ?: own.isLive }
            .shuffled(random).take(boundsOf(message).maxRecords)
        val theirs = message.summaries.associateBy { it.idHash }
        val ours = message.itemBuckets.filter { it in 0 until ItemStore.SHARD_COUNT }
            .flatMap { store.summaries(it) }.associateBy { it.idHash }
        val itemsToPush = ours.values.filter { it != theirs[it.idHash] }
            .filter { own -> theirs[own.idHash].let { it == null || it.version <= own.version } }
        val itemsToRequest = theirs.values.filter { it != ours[it.idHash] }
            .filter { other ->
                ours[other.idHash].let { it == null || it.version <= other.version }
            }
        if (newerRecords.isEmpty() && itemsToPush.isEmpty() && itemsToRequest.isEmpty()) return null
        return SwimMessage(
            SwimKind.SYNC_UPDATE.ordinal,
            message.sequence,
            table.self,
            events = newerRecords,
            items = collectItems(
                itemsToPush.map { it.idHash }.shuffled(random),
                boundsOf(message),
                now
            ),
            wanted = itemsToRequest.map { it.idHash }.shuffled(random).take(MAX_WANTED_ITEMS)
        )
    }

    /** Answers an update with the items it requests; null if there are none. */
    fun answerWanted(message: SwimMessage, now: Long): SwimMessage? =
        collectItems(message.wanted, boundsOf(message), now)
            .takeIf { it.isNotEmpty() }
            ?.let { SwimMessage(SwimKind.SYNC_ITEMS.ordinal, message.sequence, items = it) }

    /**
     * Returns the summaries of whole buckets in random order; adds no bucket once the number of
     * summaries has reached [limit].
     */
    private fun summarise(buckets: Set<Int>, limit: Int): Map<Int, List<ItemSummary>> {
        var count = 0
        return buckets.shuffled(random).associateWith { store.summaries(it) }
            .filterValues { (count < limit).also { _ -> count += it.size } }
    }

    private fun boundsOf(message: SwimMessage): Bounds =
        if (message.sequence == JOIN_SEQUENCE) JOIN_BOUNDS else PERIODIC_BOUNDS

    private fun collectItems(ids: List<Long>, bounds: Bounds, now: Long): List<GossipItem> {
        var bytes = 0
        return ids.asSequence().mapNotNull { store.find(it, now) }
            .filter { it.remainingMillis >= MIN_REMAINING_MILLIS }
            .takeWhile { item ->
                (bytes + item.size <= bounds.maxItemBytes).also { bytes += item.size }
            }
            .toList()
    }

    private fun differingBuckets(theirs: List<Long>, ours: List<Long>): Set<Int> =
        if (theirs.size == ours.size) {
            ours.indices.filterTo(LinkedHashSet()) { ours[it] != theirs[it] }
        } else {
            emptySet()
        }

    companion object {
        /** Sequence number of an exchange by which an instance joins. */
        const val JOIN_SEQUENCE = 1L

        /** Keeps a periodic exchange near 10 KB, or 1 KB/s at one exchange every 10 s. */
        private val PERIODIC_BOUNDS =
            Bounds(maxRecords = 64, maxSummaries = 100, maxItemBytes = 2 * 1_024)
        private val JOIN_BOUNDS =
            Bounds(maxRecords = 2_000, maxSummaries = 5_000, maxItemBytes = 64 * 1_024)
        private const val MAX_WANTED_ITEMS = 1_000

        /** Items with less lifetime left are not sent, or peers would exchange expiring items. */
        private const val MIN_REMAINING_MILLIS = 2_000L
    }
}
