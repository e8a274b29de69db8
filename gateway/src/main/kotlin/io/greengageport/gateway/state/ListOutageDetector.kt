package io.greengageport.gateway.state

/**
 * Tells whether the store's list of servers was unavailable to the whole fleet for so long that
 * entries of running servers may have expired, or only to this instance.
 *
 * A read that fails does not show that: the instance alone may be cut off from the store, while
 * servers renew their entries and remove them as always. The evidence is the time between two reads
 * of the list, by whichever instance, and the memberships that the store renewed meanwhile. Times
 * are on the monotonic clock, in ms.
 */
internal class ListOutageDetector {
    private var lastReadMillis: Long? = null
    private val own = Answers()
    private val fleet = Answers()

    /** The times without an answer of the store since the last read of the list. */
    private class Answers {
        private var lastMillis: Long? = null
        private var silentMillis = 0L
        private var silenceEndMillis = 0L

        fun onAnswer(atMillis: Long) {
            silentMillis += silenceUntil(atMillis)
            if (silenceUntil(atMillis) > 0) silenceEndMillis = atMillis
            lastMillis = maxOf(atMillis, lastMillis ?: atMillis)
        }

        /** The total of all silences of [MIN_SILENCE_MILLIS] or longer until [millis]. */
        fun silentMillisUntil(millis: Long): Long = silentMillis + silenceUntil(millis)

        /** End of the last silence until [millis]. */
        fun silenceEndUntil(millis: Long): Long =
            if (silenceUntil(millis) > 0) millis else silenceEndMillis

        private fun silenceUntil(millis: Long): Long =
            (millis - (lastMillis ?: millis)).takeIf { it >= MIN_SILENCE_MILLIS } ?: 0

        /** Forgets the time before a read, which a peer may have made before the last answer. */
        fun reset(readMillis: Long) {
            silentMillis = (silenceEndMillis - readMillis).coerceIn(0, silentMillis)
            lastMillis = maxOf(readMillis, lastMillis ?: readMillis)
        }
    }

    /** Records that the store renewed this instance's membership at [atMillis]. */
    fun onOwnRenewal(atMillis: Long) {
        own.onAnswer(atMillis)
        fleet.onAnswer(atMillis)
    }

    /** Records that the store renewed the membership of a peer at [atMillis]. */
    fun onPeerRenewal(atMillis: Long) {
        fleet.onAnswer(atMillis)
    }

    /**
     * Records a read of the list at [atMillis] by any instance. If entries may have expired since
     * the read before, returns when the store became available again, otherwise null.
     */
    fun onRead(atMillis: Long): Long? {
        val previousMillis = lastReadMillis
        if (previousMillis != null && atMillis <= previousMillis) return null
        lastReadMillis = atMillis
        val outageEndMillis = outageEnd(atMillis, atMillis - (previousMillis ?: atMillis))
        own.reset(atMillis)
        fleet.reset(atMillis)
        return outageEndMillis
    }

    private fun outageEnd(atMillis: Long, gapMillis: Long): Long? = when {
        gapMillis < MIN_OUTAGE_MILLIS -> null

        // The store answered this instance, so the list alone was unavailable.
        gapMillis - own.silentMillisUntil(atMillis) >= MIN_SILENCE_MILLIS -> atMillis

        // The store answered peers, so this instance alone was cut off.
        fleet.silentMillisUntil(atMillis) == 0L -> null

        // This instance may have been cut off for longer than the store was unavailable.
        else -> minOf(atMillis, fleet.silenceEndUntil(atMillis) + MAX_RETURN_MILLIS)
    }

    private companion object {
        /**
         * Servers renew their entries every 1.2 s, and entries expire after three such intervals,
         * so none expires before two intervals of an outage have passed.
         */
        const val MIN_OUTAGE_MILLIS = 2_400L

        /**
         * A renewal is timed when it is sent and may be answered 700 ms later, so an outage can
         * seem shorter by that time.
         */
        const val MIN_SILENCE_MILLIS = MIN_OUTAGE_MILLIS - 700L

        /** Time within which instances read the list after the first answer of the store. */
        const val MAX_RETURN_MILLIS = 1_000L
    }
}
