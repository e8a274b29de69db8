package io.greengageport.settings

import java.security.MessageDigest
import kotlinx.serialization.Serializable

/**
 * The SHA-256 hash of a secret key in lower-case hexadecimal. The keys are never stored.
 *
 * ```
 * view.organisationByKey(KeyHash.of("secret"))
 * ```
 */
@Serializable
@JvmInline
public value class KeyHash(public val value: String) {
    /** Whether [value] consists of 64 lower-case hexadecimal digits. */
    public val isValid: Boolean get() = FORM.matches(value)

    override fun toString(): String = value

    public companion object {
        private val FORM = Regex("[0-9a-f]{64}")

        /** Returns the hash of the UTF-8 bytes of [key]. */
        public fun of(key: String): KeyHash = KeyHash(sha256(key.encodeToByteArray()).toHex())
    }
}

internal fun sha256(bytes: ByteArray): ByteArray =
    MessageDigest.getInstance("SHA-256").digest(bytes)

private const val HEX = "0123456789abcdef"

internal fun ByteArray.toHex(): String = buildString(size * 2) {
    for (b in this@toHex) {
        append(HEX[(b.toInt() shr 4) and 0xf])
        append(HEX[b.toInt() and 0xf])
    }
}
