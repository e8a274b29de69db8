package io.greengageport.gateway.forward

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against streams with an event lost, duplicated or mixed from parts of two servers. */
class EventFramerTest {
    private fun EventFramer.feedText(text: String): String? =
        feed(Unpooled.wrappedBuffer(text.toByteArray()))?.toString(Charsets.UTF_8)

    private val first = "id: 1\ndata: a\n\n"
    private val second = "id: 2\ndata: b\n\n"

    @Nested
    inner class `Complete events` {
        @Test
        fun `do not depend on how the bytes are split`() {
            val text = first + second
            for (cut in 1 until text.length) {
                val framer = EventFramer(null)
                val parts = listOf(text.substring(0, cut), text.substring(cut))
                expectThat(parts.mapNotNull { framer.feedText(it) }.joinToString(""))
                    .isEqualTo(text)
                expectThat(framer.lastId).isEqualTo(2L)
            }
        }

        @Test
        fun `may end their lines with CR LF`() {
            val framer = EventFramer(null)
            val event = "id:7\r\ndata: x\r\n\r\n"
            expectThat(framer.feedText(event)).isEqualTo(event)
            expectThat(framer.lastId).isEqualTo(7L)
        }

        @Test
        fun `without an id are passed through`() {
            expectThat(EventFramer(4).feedText("data: x\n\n")).isEqualTo("data: x\n\n")
        }

        @Test
        fun `take their id from the id field, not from a data field that contains one`() {
            val framer = EventFramer(null)
            framer.feedText("data: id: 9\nid: 3\n\n")
            expectThat(framer.lastId).isEqualTo(3L)
        }
    }

    @Nested
    inner class `A stream that is interrupted` {
        @Test
        fun `holds back the incomplete event`() {
            val framer = EventFramer(null)
            expectThat(framer.feedText(first + "id: 2\nda")).isEqualTo(first)
            expectThat(framer.isWithinEvent).isTrue()
            expectThat(framer.lastId).isEqualTo(1L)
        }

        @Test
        fun `resumes without the events already delivered`() {
            val framer = EventFramer(1)
            expectThat(framer.feedText(first)).isNull()
            expectThat(framer.feedText(second)).isEqualTo(second)
            expectThat(framer.isWithinEvent).isFalse()
        }
    }

    /**
     * Guards against a stack overflow when the result is written, which would leave the sizes of
     * chunks without their content in the response to the caller.
     */
    @Test
    fun `thousands of empty lines in one part are one flat buffer`() {
        val lines = "\n".repeat(8_192)
        var text: String? = null
        val reader = Thread(null, { text = EventFramer(null).feedText(lines) }, "", STACK_BYTES)
        reader.start()
        reader.join()
        expectThat(text).isEqualTo(lines)
    }

    private companion object {
        /** The size in `deploy/system.toml`. */
        const val STACK_BYTES = 262_144L
    }
}
