package io.greengageport.bench

/**
 * Fault that a [TcpRelay] applies to the connections of one sender, for each direction.
 *
 * A silent direction drops all bytes, including those of connections that are opened later.
 */
public data class LinkFault(
    val requestDelayMillis: Long = 0,
    val replyDelayMillis: Long = 0,
    val requestsSilent: Boolean = false,
    val repliesSilent: Boolean = false
) {
    public companion object {
        /** No fault. */
        public val NONE: LinkFault = LinkFault()

        /** Drops all bytes in both directions, like a network partition. */
        public val PARTITION: LinkFault = LinkFault(requestsSilent = true, repliesSilent = true)
    }
}
