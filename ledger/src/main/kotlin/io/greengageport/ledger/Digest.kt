package io.greengageport.ledger

import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlinx.serialization.Serializable

/**
 * The first 128 bits of a SHA-256 hash.
 *
 * ```
 * val bodyHash = Digest.of(method.toByteArray(), path.toByteArray(), body)
 * ```
 */
@Serializable
public data class Digest(val high: Long, val low: Long) {
    public companion object {
        /**
         * Hashes [parts], each prefixed with its length, so that the same bytes split in another
         * way give another hash.
         */
        public fun of(vararg parts: ByteArray): Digest {
            val sha = MessageDigest.getInstance("SHA-256")
            for (p in parts) {
                sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(p.size).array())
                sha.update(p)
            }
            val b = ByteBuffer.wrap(sha.digest())
            return Digest(b.getLong(), b.getLong())
        }
    }
}
