package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.common.HostPort

/**
 * The peers that wait for a report, and when the next one can be sent.
 *
 * Reports share the link of the instance with the requests of callers. On a link of 14 Mbit/s, the
 * reports of a relay about a few lost servers delayed requests by more than two seconds, so that
 * servers received them after their callers had left. Reports therefore use at most [LINK_SHARE] of
 * the link. A peer that waits gets one report of each content however often one was requested for
 * it; the report is built when it is sent, so it contains all changes until then.
 *
 * Brief reports and reports with summaries wait independently, because brief ones carry the changes
 * of the list of servers, which become stale while a relay sends large summaries.
 */
internal class ReportQueue(private val clock: Clock, linkBytesPerSecond: Long) {
    /** A report to send next. */
    class Next(val target: HostPort, val isRelay: Boolean, val content: ReportContent)

    private class Recipient(
        val address: HostPort,
        val isRelay: Boolean,
        val requestedAtMillis: Long
    )

    private val bytesPerMilli = linkBytesPerSecond * LINK_SHARE / MILLIS_PER_SECOND
    private val burstBytes = linkBytesPerSecond * BURST_MILLIS / MILLIS_PER_SECOND
    private val brief = LinkedHashMap<HostPort, Recipient>()
    private val withSummaries = LinkedHashMap<HostPort, Recipient>()

    /** Content of the report that [poll] returned last. */
    private var lastContent = ReportContent.BRIEF

    /**
     * Bytes of brief reports less those of reports with summaries, sent since both kinds wait and
     * summaries are overdue.
     */
    private var briefLeadBytes = 0L

    /** Bytes that can be sent now; negative after a datagram that was larger than what was left. */
    private var allowanceBytes = burstBytes
    private var refilledAtMillis = clock.monotonicMillis()

    /** Requests a report with [content] for each of [targets]. */
    fun add(targets: List<HostPort>, isRelay: Boolean, content: ReportContent) {
        val waiting = waiting(content)
        val now = clock.monotonicMillis()
        for (target in targets) waiting.putIfAbsent(target, Recipient(target, isRelay, now))
    }

    /**
     * Removes and returns the next report to send, or null if none can be sent now.
     *
     * Brief reports come first: they are small, and delay the others only little. So that sustained
     * brief reports cannot delay the others for good, both kinds get the same number of bytes once
     * a report with summaries has waited for [MAX_SUMMARY_WAIT_MILLIS]. A report with summaries
     * contains all that a brief one does, so it also serves a brief one for the same peer.
     */
    fun poll(): Next? {
        refill()
        if (allowanceBytes <= 0) return null
        val isOverdue = isSummaryOverdue()
        if (brief.isEmpty() || !isOverdue) briefLeadBytes = 0
        val canSummaryPrecede = isOverdue && briefLeadBytes >= 0
        lastContent = when {
            brief.isEmpty() && withSummaries.isEmpty() -> return null
            brief.isEmpty() || canSummaryPrecede -> ReportContent.WITH_SUMMARIES
            else -> ReportContent.BRIEF
        }
        val next = waiting(lastContent).values.first()
        if (lastContent == ReportContent.WITH_SUMMARIES) withSummaries.remove(next.address)
        brief.remove(next.address)
        return Next(next.address, next.isRelay, lastContent)
    }

    /** Records that the report that [poll] returned last was sent in a datagram of [bytes]. */
    fun recordSent(bytes: Int) {
        allowanceBytes -= bytes
        when (lastContent) {
            ReportContent.BRIEF -> briefLeadBytes += bytes
            ReportContent.WITH_SUMMARIES -> briefLeadBytes -= bytes
        }
    }

    /** Time in ms until [poll] returns a report, or null if no peer waits for one. */
    fun millisUntilNext(): Long? {
        if (brief.isEmpty() && withSummaries.isEmpty()) return null
        refill()
        if (allowanceBytes > 0) return 0
        return (-allowanceBytes / bytesPerMilli).toLong() + 1
    }

    private fun waiting(content: ReportContent) = when (content) {
        ReportContent.BRIEF -> brief
        ReportContent.WITH_SUMMARIES -> withSummaries
    }

    private fun isSummaryOverdue(): Boolean {
        val first = withSummaries.values.firstOrNull() ?: return false
        return clock.monotonicMillis() - first.requestedAtMillis >= MAX_SUMMARY_WAIT_MILLIS
    }

    private fun refill() {
        val now = clock.monotonicMillis()
        allowanceBytes =
            minOf(burstBytes, allowanceBytes + (now - refilledAtMillis) * bytesPerMilli)
        refilledAtMillis = now
    }

    internal companion object {
        /** Share of the link for reports; the rest is left to requests and the store. */
        const val LINK_SHARE = 0.25

        /** Reports sent at once delay a request by at most this time. */
        const val BURST_MILLIS = 50.0

        /** Summaries expire after 5 s, so a wait of this length still leaves them useful. */
        private const val MAX_SUMMARY_WAIT_MILLIS = 1_000L
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
