package io.greengageport.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/**
 * A handshake frame. [mac] is empty in the dialler's first frame and in the reply to a hello of
 * another version.
 */
@Serializable
@CborArray
internal class Hello(
    val version: Int,
    val id: InstanceId,
    @ByteString val nonce: ByteArray,
    @ByteString val mac: ByteArray
)

/**
 * Mutual authentication by a shared secret: each side sends a random nonce and proves that it
 * holds the secret by an HMAC-SHA256 over both ids and nonces. The secret is never sent.
 *
 * The frames are the dialler's hello, the acceptor's hello with its proof, and the dialler's proof.
 * Frames after the handshake are neither encrypted nor signed, so the network between instances
 * must be trusted not to alter them.
 */
internal class Handshake(private val self: InstanceId, secret: ByteArray) {
    private val key = SecretKeySpec(secret, ALGORITHM)
    private val nonces = SecureRandom()

    /** Runs the dialler side; [expected] is null if any authenticated peer is accepted. */
    suspend fun dial(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        expected: InstanceId?
    ): Result<InstanceId, ConnectionError> {
        val own = createHello()
        send(output, own)
        val other = receive(input)
        if (other.version != VERSION) return Err(ConnectionError.WrongVersion(other.version))
        if (!isProof(other.mac, ACCEPTOR, own, other)) return Err(ConnectionError.WrongSecret)
        if (expected != null && other.id != expected) {
            return Err(ConnectionError.WrongPeer(other.id.value))
        }
        send(output, Hello(VERSION, self, ByteArray(0), proofOf(DIALLER, own, other)))
        return Ok(other.id)
    }

    /** Runs the acceptor side and returns the id of the authenticated peer. */
    suspend fun accept(
        input: ByteReadChannel,
        output: ByteWriteChannel
    ): Result<InstanceId, ConnectionError> {
        val other = receive(input)
        val own = createHello()
        if (other.version != VERSION) {
            send(output, own)
            return Err(ConnectionError.WrongVersion(other.version))
        }
        send(output, Hello(VERSION, self, own.nonce, proofOf(ACCEPTOR, other, own)))
        val isProved = isProof(receive(input).mac, DIALLER, other, own)
        return if (isProved) Ok(other.id) else Err(ConnectionError.WrongSecret)
    }

    private fun createHello(): Hello =
        Hello(VERSION, self, ByteArray(NONCE_BYTES).also { nonces.nextBytes(it) }, ByteArray(0))

    private suspend fun send(output: ByteWriteChannel, hello: Hello) =
        FrameCodec.write(output, FrameCodec.encode(Hello.serializer(), hello))

    private suspend fun receive(input: ByteReadChannel): Hello = FrameCodec.decode(
        Hello.serializer(),
        FrameCodec.read(input, FrameCodec.MAX_HELLO_BYTES)
    )

    private fun isProof(mac: ByteArray, role: String, dialler: Hello, acceptor: Hello): Boolean =
        MessageDigest.isEqual(mac, proofOf(role, dialler, acceptor))

    private fun proofOf(role: String, dialler: Hello, acceptor: Hello): ByteArray {
        val text = ByteArrayOutputStream()
        DataOutputStream(text).run {
            writeUTF(role)
            writeInt(VERSION)
            listOf(dialler, acceptor).forEach {
                writeUTF(it.id.value)
                writeInt(it.nonce.size)
                write(it.nonce)
            }
        }
        return Mac.getInstance(ALGORITHM).apply { init(key) }.doFinal(text.toByteArray())
    }

    companion object {
        const val VERSION = 1
        private const val ALGORITHM = "HmacSHA256"
        private const val NONCE_BYTES = 16
        private const val ACCEPTOR = "acceptor"
        private const val DIALLER = "dialler"
    }
}
