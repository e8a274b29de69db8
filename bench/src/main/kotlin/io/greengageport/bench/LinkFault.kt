package io.greengageport.bench

/**
 * Fault that a [TcpRelay] applies to the connections of one sender.
 *
 * It can delay or silence each direction. A silent direction drops all bytes, including those of
 * connections that are opened later. As soon as it has dropped bytes of a connection, that
 * connection is permanently silent in both directions.
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
