package io.greengageport.membership

import io.greengageport.common.InstanceId
import kotlin.math.log10

/** What happened to a member, for the log and the cached view. */
internal sealed interface MemberNotice {
    val id: InstanceId

    data class Joined(override val id: InstanceId, val address: String) : MemberNotice

    data class Restarted(override val id: InstanceId, val address: String) : MemberNotice

    data class Suspected(override val id: InstanceId) : MemberNotice

    data class Recovered(override val id: InstanceId) : MemberNotice

    data class Leaving(override val id: InstanceId) : MemberNotice

    data class Left(override val id: InstanceId) : MemberNotice

    data class Failed(override val id: InstanceId) : MemberNotice

    data class Refuted(override val id: InstanceId, val claimed: MemberState) : MemberNotice
}

/**
 * The member view of one instance: which record of a member takes precedence, until when a
 * suspicion lasts and how long a failed member is kept. Not thread-safe.
 */
internal class MemberTable(self: MemberRecord, private val timings: PeerTimings) {
    private class Entry(var record: MemberRecord, var deadline: Long, var hasLeft: Boolean)

    private val entries = HashMap<InstanceId, Entry>()

    var self: MemberRecord = self
        private set

    private var hasDeparted = false

    val size: Int get() = entries.values.count { it.record.isLive } + 1

    fun find(id: InstanceId): MemberRecord? = entries[id]?.record

    /** Live members without this instance. */
    fun livePeers(): List<MemberRecord> =
        entries.values.map { it.record }.filter { it.isLive }.sortedBy { it.id }

    fun all(): List<MemberRecord> = entries.values.map { it.record } + self

    /** Failed members that did not announce that they leave; they may return after a partition. */
    fun unreachable(): List<MemberRecord> = entries.values
        .filter { !it.record.isLive && !it.hasLeft }.map { it.record }.sortedBy { it.id }

    /** Merges [record]; null if it was not news, else the notice. */
    fun merge(record: MemberRecord, now: Long): MemberNotice? {
        if (record.id == self.id) return refute(record)
        val entry = entries[record.id]
        if (entry == null) {
            if (!record.isLive) return null
            entries[record.id] = Entry(record, deadline(record.state, now), hasLeft = false)
            return MemberNotice.Joined(record.id, record.address)
        }
        if (record <= entry.record) return null
        val old = entry.record
        entry.hasLeft = record.state == MemberState.FAILED && record.boot == old.boot &&
            (old.state == MemberState.LEAVING || entry.hasLeft)
        entry.record = record
        entry.deadline = when {
            entry.hasLeft -> now + timings.leftRetention.inWholeMilliseconds
            else -> deadline(record.state, now)
        }
        return notice(old, record, entry.hasLeft)
    }

    /**
     * Merges a record of an anti-entropy exchange. A failure in it may be long refuted, so it only
     * raises a suspicion that the member can refute.
     */
    fun mergeFromSync(record: MemberRecord, now: Long): MemberNotice? {
        val known = find(record.id)
        val isStale = record.state == MemberState.FAILED && known != null && known.isLive &&
            known.boot == record.boot && known.state != MemberState.LEAVING
        return merge(if (isStale) record.with(MemberState.SUSPECT) else record, now)
    }

    /** Marks a member that does not answer; a leaving one keeps its state until the deadline. */
    fun suspect(id: InstanceId, now: Long): MemberNotice? {
        val entry = entries[id] ?: return null
        if (entry.record.state == MemberState.LEAVING) {
            if (entry.deadline == NEVER) entry.deadline = now + suspicionMillis()
            return null
        }
        return merge(entry.record.with(MemberState.SUSPECT), now)
    }

    /** Withdraws the deadline of a leaving member that answered. */
    fun answered(id: InstanceId) {
        val entry = entries[id] ?: return
        if (entry.record.state == MemberState.LEAVING) entry.deadline = NEVER
    }

    /** Fails members whose suspicion ran out and forgets those failed long ago. */
    fun expire(now: Long): List<MemberNotice> {
        val due = entries.values.filter { it.deadline <= now }
        val (live, failed) = due.partition { it.record.isLive }
        failed.forEach { entries.remove(it.record.id) }
        return live.mapNotNull { merge(it.record.with(MemberState.FAILED), now) }
    }

    /** Grants all suspected members [millis] more, after a pause of this process. */
    fun extendSuspicions(millis: Long) = entries.values
        .filter { it.record.isLive && it.deadline != NEVER }.forEach { it.deadline += millis }

    fun leave() {
        self = self.copy(
            incarnation = self.incarnation + 1,
            stateCode = MemberState.LEAVING.ordinal
        )
    }

    /** The final record of this instance, which peers may send back and which must stand. */
    fun depart(): MemberRecord {
        hasDeparted = true
        return self.with(MemberState.FAILED)
    }

    /** XOR of the fingerprints of live members per bucket. */
    fun digest(): List<Long> {
        val buckets = LongArray(BUCKETS)
        all().filter { it.isLive }.forEach {
            val bucket = bucketOf(it)
            buckets[bucket] = buckets[bucket] xor it.fingerprint()
        }
        return buckets.toList()
    }

    private fun refute(record: MemberRecord): MemberNotice? {
        if (hasDeparted || record <= self) return null
        self = if (record.boot > self.boot) {
            self.copy(boot = record.boot + 1)
        } else {
            self.copy(incarnation = record.incarnation + 1)
        }
        return MemberNotice.Refuted(self.id, record.state)
    }

    private fun notice(old: MemberRecord, new: MemberRecord, hasLeft: Boolean): MemberNotice =
        when (new.state) {
            MemberState.SUSPECT -> MemberNotice.Suspected(new.id)

            MemberState.LEAVING -> MemberNotice.Leaving(new.id)

            MemberState.FAILED ->
                if (hasLeft) MemberNotice.Left(new.id) else MemberNotice.Failed(new.id)

            MemberState.ALIVE -> when {
                new.boot != old.boot -> MemberNotice.Restarted(new.id, new.address)
                else -> MemberNotice.Recovered(new.id)
            }
        }

    private fun deadline(state: MemberState, now: Long): Long = when (state) {
        MemberState.ALIVE, MemberState.LEAVING -> NEVER
        MemberState.SUSPECT -> now + suspicionMillis()
        MemberState.FAILED -> now + timings.failedRetention.inWholeMilliseconds
    }

    private fun suspicionMillis(): Long {
        val factor = log10(size.toDouble()).coerceAtLeast(1.0)
        return (timings.suspicionTimeout.inWholeMilliseconds * factor).toLong()
    }

    companion object {
        const val BUCKETS = 16
        private const val NEVER = Long.MAX_VALUE

        fun bucketOf(record: MemberRecord): Int = Hash64.of(record.id.value).bucket(BUCKETS)
    }
}
