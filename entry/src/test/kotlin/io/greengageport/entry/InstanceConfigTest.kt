package io.greengageport.entry

import com.github.michaelbull.result.fold
import java.nio.file.Files
import java.nio.file.Path
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class InstanceConfigTest {
    @TempDir
    lateinit var directory: Path

    private fun load(text: String): String {
        val file = Files.writeString(directory.resolve("instance.yaml"), text)
        return InstanceConfig.load(file).fold(
            { "${it.instance} ${it.listen.callers} ${it.bounds.maxBodyBytes}" },
            { e ->
                when (e) {
                    is ConfigError.Unreadable -> "unreadable"
                    is ConfigError.Malformed -> "malformed at line ${e.line}"
                    is ConfigError.Invalid -> e.reason
                }
            }
        )
    }

    private fun file(secret: String = "0123456789abcdef", admin: String = "127.0.0.1:2") = """
        instance: entry-1
        data_centre: dc1
        listen: { callers: "127.0.0.1:1", admin: "$admin", peers: "127.0.0.1:3" }
        platform: "http://127.0.0.1:9"
        peer_secret: "$secret"
    """.trimIndent()

    @Nested
    inner class Load {
        @Test
        fun `absent keys get the documented defaults`() {
            expectThat(load(file())).isEqualTo("entry-1 127.0.0.1:1 1048576")
        }

        /** Guards against an instance that starts with harmful values, such as polling at 0 ms. */
        @Test
        fun `invalid values are reported when the file is loaded`() {
            expectThat(
                listOf(
                    load(file(secret = "0123456789abcde")),
                    load(file(admin = "localhost")),
                    load(file() + "\ntimes: { list_poll_ms: 0 }"),
                    load(file() + "\nbounds: { max_body_bytes: 67108865 }"),
                    load(file() + "\nadmin_key_hash: secret"),
                    load(file() + "\nunknown: 1"),
                    load("instance: [")
                )
            ).isEqualTo(
                listOf(
                    "peer_secret has at least 16 characters",
                    "an address is host:port, not 'localhost'",
                    "times.list_poll_ms is from 10 to 60000, not 0",
                    "bounds.max_body_bytes is from 1 to 67108864, not 67108865",
                    "admin_key_hash is a SHA-256 hash as 64 lower-case hexadecimal digits",
                    "malformed at line 6",
                    "malformed at line 1"
                )
            )
        }
    }
}
