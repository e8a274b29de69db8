package io.greengageport.gateway.peer

import io.greengageport.common.Clock
import io.greengageport.gateway.logging.DecisionLog
import java.util.EnumMap

/**
 * Counts the datagrams that this instance sends to its peers, and logs the counts of each second in
 * which it sends more than [LOGGED_BYTES]. Requests share the link with them, so this shows when
 * reports delay requests.
 */
internal class PeerTraffic(
    private val clock: Clock,
    private val log: DecisionLog,
    private val onSent: (bytes: Int) -> Unit = {}
) {
    private var startedAtMillis = 0L
    private val reports = EnumMap<ReportReason, Int>(ReportReason::class.java)
    private var datagrams = 0
    private var bytes = 0L
    private var largest = 0

    /** Counts a report that is sent because of [reason]. */
    fun onReport(reason: ReportReason) {
        rollOver()
        reports.merge(reason, 1, Int::plus)
    }

    /** Counts a datagram of [size] bytes. */
    fun onDatagram(size: Int) {
        rollOver()
        datagrams++
        bytes += size
        largest = maxOf(largest, size)
        onSent(size)
    }

    private fun rollOver() {
        val now = clock.monotonicMillis()
        if (now - startedAtMillis < PERIOD_MILLIS) return
        if (bytes > LOGGED_BYTES) {
            log.record(
                "peers",
                "traffic",
                "bytes" to bytes,
                "datagrams" to datagrams,
                "largest" to largest,
                "reports" to reports,
                "since_ms" to now - startedAtMillis
            )
        }
        startedAtMillis = now
        reports.clear()
        datagrams = 0
        bytes = 0
        largest = 0
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L

        /** About a tenth of what the slowest links of instances carry in a second. */
        const val LOGGED_BYTES = 150_000L
    }
}
