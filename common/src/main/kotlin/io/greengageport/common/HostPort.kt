package io.greengageport.common

/** A network address, written `host:port`. */
public data class HostPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private val PORTS = 0..65_535

        /** Parses [text], or returns null if it is not `host:port`. */
        public fun parseOrNull(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null || port !in PORTS) {
                null
            } else {
                HostPort(host, port)
            }
        }

        /**
         * Parses [text], which is expected to be valid; throws [IllegalArgumentException] if it is
         * not `host:port`.
         */
        public fun parse(text: String): HostPort =
            requireNotNull(parseOrNull(text)) { "the address must be host:port, but is '$text'" }
    }
}
