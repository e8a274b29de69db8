package io.greengageport.settings

import java.nio.ByteBuffer
import kotlinx.serialization.Serializable

/**
 * An incrementally updated hash of all documents of a tree.
 *
 * It is the sum, in the four lanes [a] to [d] of 64 bits, of the SHA-256 hashes of path and
 * document. It does not depend on the order in which the documents were added. It detects
 * corruption and divergence, but does not protect against forgery.
 */
@Serializable
public data class TreeHash(val a: Long, val b: Long, val c: Long, val d: Long) {
    internal operator fun plus(o: TreeHash) = TreeHash(a + o.a, b + o.b, c + o.c, d + o.d)

    internal operator fun minus(o: TreeHash) = TreeHash(a - o.a, b - o.b, c - o.c, d - o.d)

    override fun toString(): String = listOf(a, b, c, d).joinToString("") { "%016x".format(it) }

    public companion object {
        /** Hash of the empty tree. */
        public val EMPTY: TreeHash = TreeHash(0, 0, 0, 0)

        internal fun of(path: SettingsPath, document: SettingsDocument): TreeHash {
            val bytes = path.value.encodeToByteArray() + 0 + RecordCodec.encode(document)
            val digest = ByteBuffer.wrap(sha256(bytes))
            return TreeHash(digest.long, digest.long, digest.long, digest.long)
        }
    }
}
