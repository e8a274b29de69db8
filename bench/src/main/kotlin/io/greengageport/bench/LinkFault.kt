package io.greengageport.bench

/**
 * What a [TcpRelay] does to the bytes of one sender, for each direction.
 *
 * A silent direction loses all bytes, also of connections that are opened later.
 */
public data class LinkFault(
    val requestDelayMillis: Long = 0,
    val replyDelayMillis: Long = 0,
    val requestsSilent: Boolean = false,
    val repliesSilent: Boolean = false
) {
    public companion object {
        /** The link works. */
        public val NONE: LinkFault = LinkFault()

        /** Nothing passes in either direction, as between the sides of a partition. */
        public val PARTITION: LinkFault = LinkFault(requestsSilent = true, repliesSilent = true)
    }
}
