package io.greengageport.standins

import io.greengageport.common.RequestId
import java.util.concurrent.ConcurrentHashMap

/**
 * The work of an engine that is not yet done: tokens to come of all streams that pass through it.
 *
 * A token over a part of the layer range counts as that part. A stage after the first isn't told
 * when a stream ends early, so a stream without a step for [FORGET_NANOS] no longer counts.
 */
internal class OpenWork {
    private class Stream(val tokens: Double, val atNanos: Long)

    private val streams = ConcurrentHashMap<RequestId, Stream>()

    /** Tokens to come. */
    fun tokens(): Double {
        val oldest = System.nanoTime() - FORGET_NANOS
        streams.values.removeIf { it.atNanos < oldest }
        return streams.values.sumOf { it.tokens }
    }

    /** Notes that [request] has [tokens] to come. */
    fun note(request: RequestId, tokens: Double) {
        if (tokens > 0) {
            streams[request] = Stream(tokens, System.nanoTime())
        } else {
            streams.remove(request)
        }
    }

    private companion object {
        const val FORGET_NANOS = 3_000_000_000L
    }
}
