package io.greengageport.settings

import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Label
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Tests with malformed records, which anyone with access to the log can append. */
class MalformedRecordTest {
    private val valid = RecordCodec.encode(
        Fixtures.change("a", "organisations/t/o", 0, Fixtures.organisation("k", listOf("s")))
    )

    /** Guards against an exception in the reader caused by a corrupted record. */
    @Property(tries = 20_000, seed = "2026", shrinking = ShrinkingMode.OFF)
    @Label("a corrupted record does not throw an exception")
    fun damagedRecord(@ForAll seed: Long) {
        val random = Random(seed)
        val bytes = valid.copyOf(random.nextInt(valid.size / 2, valid.size + 4))
        repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        SettingsState.EMPTY.apply(Fixtures.record(1, bytes))
    }

    /** Guards against out-of-memory errors caused by a large length field in a record. */
    @Test
    fun `a record with a huge list or string length is malformed`() {
        val claims = mapOf("keyHashes" to 0x9a, "author" to 0xba, "name" to 0x7a)
        val decisions = claims.map { (field, header) ->
            val at = String(valid, Charsets.ISO_8859_1).indexOf(field) + field.length
            val huge = byteArrayOf(header.toByte(), 0x7f, -1, -1, -1)
            val bytes = valid.copyOf(at) + huge + valid.drop(at + 1)
            SettingsState.EMPTY.apply(Fixtures.record(1, bytes)).decision
        }
        expectThat(decisions.filter { it !is Decision.Malformed }).isEqualTo(emptyList())
    }

    /** Guards against endless recursion of the decoder on unterminated strings. */
    @Test
    fun `a record with unterminated or deeply nested items is malformed`() {
        val at = String(valid, Charsets.ISO_8859_1).indexOf("author")
        val payloads = listOf(0x5f, 0x7f, 0x9f, 0x81).flatMap { header ->
            val deep = ByteArray(60_000) { header.toByte() }
            listOf(byteArrayOf(header.toByte()), deep, valid.copyOf(at + 6) + deep)
        }
        val shortest = byteArrayOf(0x9f.toByte(), 0x7f)
        val decisions = (payloads + shortest)
            .map { SettingsState.EMPTY.apply(Fixtures.record(1, it)).decision }
        expectThat(decisions.filter { it !is Decision.Malformed }).isEqualTo(emptyList())
    }
}
