package io.greengageport.ledger

import io.greengageport.common.InstanceId

/**
 * State of all leases, built by applying the records of the stream `leases` in log order.
 *
 * A record takes effect if its `previous` equals the offset of the current record of the lease, or
 * 0 if there is none (compare-and-set). A current record older than [forgetMillis] by log time is
 * ignored, so that readers that miss truncated records agree with readers that have them.
 *
 * After a truncation, the first record that a reader sees may be one that a truncated record had
 * made ineffective. Writers refer only to records that they know took effect. Such a reader
 * therefore uses the record with the higher `previous`, and treats the lease as confirmed once a
 * later record refers to it.
 */
internal class LeaseTable(private val forgetMillis: Long) {
    /**
     * The current record of a lease, appended at [appendedAtMillis] by log time; [holder] is null
     * after a release.
     */
    data class CurrentRecord(
        val offset: Long,
        val holder: InstanceId?,
        val ttlMillis: Long,
        val attempt: Long,
        val appendedAtMillis: Long,
        /** `previous` of a record that may not have taken effect; null if it is confirmed. */
        val unconfirmedPrevious: Long?
    )

    private val leases = HashMap<String, CurrentRecord>()
    private var earliestOffset = 1L

    /** Log time from which on no truncated record can be current any more. */
    private var historyCompleteFromMillis = Long.MIN_VALUE

    /** Applies a record; returns whether it took effect. */
    fun apply(r: LeaseRecord, offset: Long, appendedAtMillis: Long): Boolean =
        synchronized(leases) {
            val current = findLive(r.name, appendedAtMillis)
            val isRelease = r is LeaseRecord.Release
            val isSuccessor = r.previous == (current?.offset ?: 0L)
            val isLikelyNewer = r.previous in 1 until earliestOffset &&
                !isHistoryComplete(appendedAtMillis) &&
                (current == null || (current.unconfirmedPrevious ?: Long.MAX_VALUE) < r.previous)
            if (!isSuccessor && !isLikelyNewer) return false
            if (isSuccessor && isRelease && r.holder != current?.holder) return false
            val isCertain = isSuccessor && (current != null || isHistoryComplete(appendedAtMillis))
            leases[r.name] = CurrentRecord(
                offset,
                r.holder.takeUnless { isRelease },
                (r as? LeaseRecord.Acquire)?.ttlMillis ?: 0,
                (r as? LeaseRecord.Acquire)?.attempt ?: 0,
                appendedAtMillis,
                r.previous.takeUnless { isCertain }
            )
            true
        }

    /** The current record of [name] at [logTimeMillis], or null if there is none. */
    fun current(name: String, logTimeMillis: Long): CurrentRecord? = synchronized(leases) {
        findLive(name, logTimeMillis)
    }

    /**
     * Whether this copy certainly agrees with all others about [name] at [logTimeMillis].
     *
     * [ageMillis] is the age of this copy: the time since the last [reset].
     */
    fun isConfirmed(name: String, logTimeMillis: Long, ageMillis: Long): Boolean =
        synchronized(leases) {
            val record = findLive(name, logTimeMillis)
            if (record != null) {
                record.unconfirmedPrevious == null
            } else {
                isHistoryComplete(logTimeMillis) || ageMillis >= forgetMillis
            }
        }

    /**
     * Clears the table after a truncation. Records before [earliestOffset], appended before the log
     * time [horizonMillis], are lost.
     */
    fun reset(earliestOffset: Long, horizonMillis: Long): Unit = synchronized(leases) {
        leases.clear()
        this.earliestOffset = earliestOffset
        historyCompleteFromMillis = horizonMillis + forgetMillis
    }

    private fun findLive(name: String, logTimeMillis: Long): CurrentRecord? =
        leases[name]?.takeIf { it.appendedAtMillis >= logTimeMillis - forgetMillis }

    private fun isHistoryComplete(logTimeMillis: Long) = logTimeMillis >= historyCompleteFromMillis
}
