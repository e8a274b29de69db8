package io.greengageport.gateway.forward

import io.greengageport.gateway.port.AnswerHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Receives the answer of a backend server while it arrives. */
internal interface AnswerReader {
    /** The head has arrived; the result is the time until the first part of the body, in ms. */
    fun onHead(status: Int, headers: HttpHeaders, answer: AnswerHeaders): Long

    /** Takes a part of the body. */
    suspend fun onPart(part: ByteBuf): PartEnd
}

/** What a part of an answer came to. */
internal sealed interface PartEnd {
    /** The answer went on; more has to come within [millis]. */
    data class Progress(val millis: Long) : PartEnd

    /** The answer did not go on; the time for that stays as it was. */
    data object NoProgress : PartEnd

    /** The part belongs to no proper answer. */
    data class Malformed(val reason: String) : PartEnd

    /** The caller no longer reads. */
    data object CallerGone : PartEnd
}
