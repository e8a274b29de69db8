package io.greengageport.ledger

import io.greengageport.common.InstanceId

/**
 * The fold of the stream `leases`: who holds each lease by log order.
 *
 * A record takes effect if its `previous` equals the offset of the current record, or 0 where there
 * is none. A current record older than [forgetMillis] of the log's time counts as none, so that
 * readers with and without truncated records agree.
 *
 * A reader of a truncated stream may see a record first that a lost one had made void. Writers
 * build only on records that they know to be in effect, so such a reader takes the record with the
 * higher `previous`, and counts a lease as confirmed once a later record builds on it.
 */
internal class LeaseTable(private val forgetMillis: Long) {
    /** The current record of a lease; [holder] is null after a release. */
    data class Current(
        val offset: Long,
        val holder: InstanceId?,
        val ttlMillis: Long,
        val attempt: Long,
        val appendedAt: Long,
        /** `previous` of a first record whose place is uncertain; null when it is confirmed. */
        val unconfirmedPrevious: Long?
    )

    private val leases = HashMap<String, Current>()
    private var earliest = 1L
    private var settledFrom = Long.MIN_VALUE

    /** Applies a record; true if it took effect. */
    fun apply(r: LeaseRecord, offset: Long, appendedAt: Long): Boolean = synchronized(leases) {
        val current = live(r.name, appendedAt)
        val released = r is LeaseRecord.Release
        val builds = r.previous == (current?.offset ?: 0L)
        val supersedes = r.previous in 1 until earliest && !settled(appendedAt) &&
            (current == null || (current.unconfirmedPrevious ?: Long.MAX_VALUE) < r.previous)
        if (!builds && !supersedes) return false
        if (builds && released && r.holder != current?.holder) return false
        val certain = builds && (current != null || settled(appendedAt))
        leases[r.name] = Current(
            offset,
            r.holder.takeUnless { released },
            (r as? LeaseRecord.Acquire)?.ttlMillis ?: 0,
            (r as? LeaseRecord.Acquire)?.attempt ?: 0,
            appendedAt,
            r.previous.takeUnless { certain }
        )
        true
    }

    /** The current record of [name] at [logTime], or null where there is none. */
    fun current(name: String, logTime: Long): Current? = synchronized(leases) {
        live(name, logTime)
    }

    /**
     * Whether this copy surely agrees with all others about [name] at [logTime], read
     * [sinceReset] milliseconds after the last [reset].
     */
    fun confirmed(name: String, logTime: Long, sinceReset: Long): Boolean = synchronized(leases) {
        val c = live(name, logTime)
        if (c != null) {
            c.unconfirmedPrevious == null
        } else {
            settled(logTime) || sinceReset >= forgetMillis
        }
    }

    /** Starts anew from a stream whose records before [earliest] and [horizon] are gone. */
    fun reset(earliest: Long, horizon: Long): Unit = synchronized(leases) {
        leases.clear()
        this.earliest = earliest
        settledFrom = horizon + forgetMillis
    }

    private fun live(name: String, logTime: Long): Current? =
        leases[name]?.takeIf { it.appendedAt >= logTime - forgetMillis }

    private fun settled(logTime: Long) = logTime >= settledFrom
}
