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
        val limit = if (message.sequence == JOINING) MAX_JOIN_RECORDS else MAX_RECORDS
        val records = table.all().filter { MemberTable.bucketOf(it) in memberBuckets }
        return SwimMessage(
            SwimKind.SYNC_DIFFERENCE.ordinal,
            message.sequence,
            table.self,
            events = records.shuffled(random).take(limit),
            summaries = itemBuckets.flatMap { store.summaries(it) }.shuffled(random)
                .take(MAX_SUMMARIES),
            memberBuckets = memberBuckets.toList(),
            itemBuckets = itemBuckets.toList()
        )
    }

    /** Answers a difference with what is newer here and asks for what is newer there. */
    fun update(message: SwimMessage, now: Long): SwimMessage? {
        val known = message.events.associateBy { it.id }
        val newer = table.all().filter { MemberTable.bucketOf(it) in message.memberBuckets }
            .filter { own -> known[own.id]?.let { own > it } ?: own.isLive }
            .shuffled(random).take(MAX_RECORDS)
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
            items = collect(push.map { it.idHash }.shuffled(random), now),
            wanted = want.map { it.idHash }.shuffled(random).take(MAX_WANTED)
        )
    }

    fun items(message: SwimMessage, now: Long): SwimMessage? = collect(message.wanted, now)
        .takeIf { it.isNotEmpty() }
        ?.let { SwimMessage(SwimKind.SYNC_ITEMS.ordinal, message.sequence, items = it) }

    private fun collect(ids: List<Long>, now: Long): List<GossipItem> {
        var bytes = 0
        return ids.asSequence().mapNotNull { store.find(it, now) }
            .filter { it.remainingMillis >= MIN_REMAINING_MILLIS }
            .takeWhile { item -> (bytes + item.size <= MAX_ITEM_BYTES).also { bytes += item.size } }
            .toList()
    }

    private fun differing(theirs: List<Long>, ours: List<Long>): Set<Int> =
        if (theirs.size == ours.size) {
            ours.indices.filterTo(LinkedHashSet()) { ours[it] != theirs[it] }
        } else {
            emptySet()
        }

    private companion object {
        const val JOINING = 1L
        const val MAX_RECORDS = 64
        const val MAX_JOIN_RECORDS = 2_000
        const val MAX_SUMMARIES = 2_000
        const val MAX_WANTED = 500
        const val MAX_ITEM_BYTES = 16 * 1_024

        /** Items about to expire are not copied, or peers would hand them around at the end. */
        const val MIN_REMAINING_MILLIS = 2_000L
    }
}
