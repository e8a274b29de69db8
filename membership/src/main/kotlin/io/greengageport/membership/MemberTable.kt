package io.greengageport.membership

import io.greengageport.common.InstanceId
import kotlin.math.log10

/** A change of the member view, which is logged and invalidates the cached view. */
internal sealed interface MemberChange {
    val id: InstanceId

    data class Joined(override val id: InstanceId, val address: String) : MemberChange

    /** The member is alive with a new boot id. */
    data class Restarted(override val id: InstanceId, val address: String) : MemberChange

    data class Suspected(override val id: InstanceId) : MemberChange

    /** The member refuted a suspicion or a failure. */
    data class Recovered(override val id: InstanceId) : MemberChange

    data class Leaving(override val id: InstanceId) : MemberChange

    /** The member stopped after it announced leaving. */
    data class Left(override val id: InstanceId) : MemberChange

    data class Failed(override val id: InstanceId) : MemberChange

    /** This instance received a record of itself in state [claimed] and overrode it. */
    data class Refuted(override val id: InstanceId, val claimed: MemberState) : MemberChange
}

/**
 * The member view of one instance. It decides which record of a member takes precedence, how long a
 * suspicion lasts and how long a failed member is retained. Times are monotonic milliseconds. Not
 * thread-safe.
 */
internal class MemberTable(self: MemberRecord, private val timings: PeerTimings) {
    /** [deadlineMillis] is when a live member fails, or a failed one is removed. */
    private class Entry(var record: MemberRecord, var deadlineMillis: Long, var hasLeft: Boolean)

    private val entries = HashMap<InstanceId, Entry>()

    var self: MemberRecord = self
        private set

    private var hasSelfLeft = false

    /** Number of live members, this instance included. */
    val size: Int get() = entries.values.count { it.record.isLive } + 1

    fun find(id: InstanceId): MemberRecord? = entries[id]?.record

    /** Live members other than this instance, sorted by id. */
    fun livePeers(): List<MemberRecord> =
        entries.values.map { it.record }.filter { it.isLive }.sortedBy { it.id }

    /** All records, those of failed members and of this instance included. */
    fun all(): List<MemberRecord> = entries.values.map { it.record } + self

    /** Failed members that did not announce leaving; they may return after a partition. */
    fun unreachableMembers(): List<MemberRecord> = entries.values
        .filter { !it.record.isLive && !it.hasLeft }.map { it.record }.sortedBy { it.id }

    /**
     * Merges [record] and returns the resulting change. Returns null if the record is not newer, or
     * reports the failure of an unknown member.
     */
    fun merge(record: MemberRecord, now: Long): MemberChange? {
        if (record.id == self.id) return refute(record)
        val entry = entries[record.id]
        if (entry == null) {
            if (!record.isLive) return null
            entries[record.id] = Entry(record, deadlineFor(record.state, now), hasLeft = false)
            return MemberChange.Joined(record.id, record.address)
        }
        if (record <= entry.record) return null
        val old = entry.record
        entry.hasLeft = record.state == MemberState.FAILED && record.boot == old.boot &&
            (old.state == MemberState.LEAVING || entry.hasLeft)
        entry.record = record
        entry.deadlineMillis = when {
            entry.hasLeft -> now + timings.leftRetention.inWholeMilliseconds
            else -> deadlineFor(record.state, now)
        }
        return changeOf(old, record, entry.hasLeft)
    }

    /**
     * Merges a record of an anti-entropy exchange. A failure in it may have been refuted long ago,
     * so it only raises a suspicion, which the member can refute.
     */
    fun mergeFromSync(record: MemberRecord, now: Long): MemberChange? {
        val known = find(record.id)
        val isUnconfirmed = record.state == MemberState.FAILED && known != null && known.isLive &&
            known.boot == record.boot && known.state != MemberState.LEAVING
        return merge(if (isUnconfirmed) record.with(MemberState.SUSPECT) else record, now)
    }

    /**
     * Suspects a member that did not answer a probe. A leaving member keeps its state until its
     * deadline instead.
     */
    fun suspect(id: InstanceId, now: Long): MemberChange? {
        val entry = entries[id] ?: return null
        if (entry.record.state == MemberState.LEAVING) {
            if (entry.deadlineMillis == NO_DEADLINE) entry.deadlineMillis = now + suspicionMillis()
            return null
        }
        return merge(entry.record.with(MemberState.SUSPECT), now)
    }

    /** Cancels the deadline of a leaving member that answered a probe. */
    fun recordAnswer(id: InstanceId) {
        val entry = entries[id] ?: return
        if (entry.record.state == MemberState.LEAVING) entry.deadlineMillis = NO_DEADLINE
    }

    /** Fails live members and removes failed ones whose deadlines have passed. */
    fun expire(now: Long): List<MemberChange> {
        val due = entries.values.filter { it.deadlineMillis <= now }
        val (live, failed) = due.partition { it.record.isLive }
        failed.forEach { entries.remove(it.record.id) }
        return live.mapNotNull { merge(it.record.with(MemberState.FAILED), now) }
    }

    /** Extends the deadlines of live members by [millis], after a pause of this process. */
    fun extendSuspicions(millis: Long) = entries.values
        .filter { it.record.isLive && it.deadlineMillis != NO_DEADLINE }
        .forEach { it.deadlineMillis += millis }

    /** Marks this instance as leaving and raises its incarnation. */
    fun markLeaving() {
        self = self.copy(
            incarnation = self.incarnation + 1,
            stateCode = MemberState.LEAVING.ordinal
        )
    }

    /** Returns the final record of this instance; afterwards, records of it are not refuted. */
    fun markLeft(): MemberRecord {
        hasSelfLeft = true
        return self.with(MemberState.FAILED)
    }

    /** The XOR of the fingerprints of live members, per bucket. */
    fun digest(): List<Long> {
        val buckets = LongArray(BUCKET_COUNT)
        all().filter { it.isLive }.forEach {
            val bucket = bucketOf(it)
            buckets[bucket] = buckets[bucket] xor it.fingerprint()
        }
        return buckets.toList()
    }

    private fun refute(record: MemberRecord): MemberChange? {
        if (hasSelfLeft || record <= self) return null
        self = if (record.boot > self.boot) {
            self.copy(boot = record.boot + 1)
        } else {
            self.copy(incarnation = record.incarnation + 1)
        }
        return MemberChange.Refuted(self.id, record.state)
    }

    private fun changeOf(old: MemberRecord, new: MemberRecord, hasLeft: Boolean): MemberChange =
        when (new.state) {
            MemberState.SUSPECT -> MemberChange.Suspected(new.id)

            MemberState.LEAVING -> MemberChange.Leaving(new.id)

            MemberState.FAILED ->
                if (hasLeft) MemberChange.Left(new.id) else MemberChange.Failed(new.id)

            MemberState.ALIVE -> when {
                new.boot != old.boot -> MemberChange.Restarted(new.id, new.address)
                else -> MemberChange.Recovered(new.id)
            }
        }

    private fun deadlineFor(state: MemberState, now: Long): Long = when (state) {
        MemberState.ALIVE, MemberState.LEAVING -> NO_DEADLINE
        MemberState.SUSPECT -> now + suspicionMillis()
        MemberState.FAILED -> now + timings.failedRetention.inWholeMilliseconds
    }

    private fun suspicionMillis(): Long {
        val factor = log10(size.toDouble()).coerceAtLeast(1.0)
        return (timings.suspicionTimeout.inWholeMilliseconds * factor).toLong()
    }

    companion object {
        const val BUCKET_COUNT = 16
        private const val NO_DEADLINE = Long.MAX_VALUE

        fun bucketOf(record: MemberRecord): Int = Hash64.of(record.id.value).bucket(BUCKET_COUNT)
    }
}
