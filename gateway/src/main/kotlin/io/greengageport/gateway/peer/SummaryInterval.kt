package io.greengageport.gateway.peer

/**
 * Time between two reports with summaries of a relay.
 *
 * The summaries of a data centre of 72 instances, sent each second, exceed the relay's
 * [ReportQueue.LINK_SHARE] of a link of 14 Mbit/s for good. So the interval grows until summaries
 * use half of that share, up to [MAX_MILLIS].
 */
internal class SummaryInterval(linkBytesPerSecond: Long) {
    private val bytesPerMilli = linkBytesPerSecond * ReportQueue.LINK_SHARE / 2 / MILLIS_PER_SECOND
    private var localBytes = 0
    private var relayBytes = 0

    /** Records that a report with summaries has [bytes], as sent to relays or to local peers. */
    fun recordSize(isRelay: Boolean, bytes: Int) {
        if (isRelay) relayBytes = bytes else localBytes = bytes
    }

    /**
     * Whether summaries are due [elapsedMillis] after the last ones, for [localPeers] and [relays]
     * as recipients. Has to be asked each [askedEachMillis]; of these times, the nearest to the end
     * of the interval is chosen.
     */
    fun isDue(elapsedMillis: Long, askedEachMillis: Long, localPeers: Int, relays: Int): Boolean {
        val bytes = localPeers.toLong() * localBytes + relays.toLong() * relayBytes
        val intervalMillis = bytes / bytesPerMilli
        return elapsedMillis >= MIN_MILLIS &&
            (
                elapsedMillis + askedEachMillis / 2 >= intervalMillis ||
                    elapsedMillis + askedEachMillis > MAX_MILLIS
                )
    }

    private companion object {
        /**
         * A summary is as old as this plus two hops, which is still less than the duration of a
         * request.
         */
        const val MIN_MILLIS = 1_000L

        /** Half of the time after which the receivers drop a summary, so that one may be lost. */
        const val MAX_MILLIS = 2_500L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
