package io.greengageport.entry

import com.github.michaelbull.result.fold
import io.greengageport.common.RequestId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CompletionFormatTest {
    private fun parse(form: CompletionForm, text: String): String =
        CompletionFormat.parse(form, text).fold(
            { "${it.model}|${it.prompt}|${it.maxTokens}|${it.stream}" },
            { "${it.code}: ${it.message}" }
        )

    @Nested
    inner class Parse {
        @Test
        fun `text and chat calls are parsed to the same fields`() {
            expectThat(
                listOf(
                    parse(CompletionForm.TEXT, """{"model":"m","prompt":"p","max_tokens":3}"""),
                    parse(
                        CompletionForm.CHAT,
                        """{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true}"""
                    )
                )
            ).isEqualTo(listOf("m|p|3|false", "m|user: p|64|true"))
        }

        @Test
        fun `an invalid call is refused with the reason`() {
            expectThat(
                listOf("""{"model":"m"}""", """{"model":"m","prompt":"p","max_tokens":0}""")
                    .map { parse(CompletionForm.TEXT, it) }
            ).isEqualTo(
                listOf(
                    "invalid_request: the prompt is missing or empty",
                    "invalid_request: max_tokens is from 1 to 32768, not 0"
                )
            )
        }
    }

    @Nested
    inner class Events {
        /** Guards against token text that a caller would read as further events of the stream. */
        @Test
        fun `token text is escaped, so that it cannot end its event`() {
            val call = CompletionCall(CompletionForm.CHAT, "m", "p", 1, stream = true)
            expectThat(CompletionFormat.event(RequestId("r"), call, 7, "a\"\n\n", "length"))
                .isEqualTo(
                    """data: {"id":"r","object":"chat.completion.chunk","created":7,""" +
                        """"model":"m","choices":[{"index":0,"delta":{"content":"a\"\n\n"},""" +
                        """"finish_reason":"length"}]}""" + "\n\n"
                )
        }
    }
}
