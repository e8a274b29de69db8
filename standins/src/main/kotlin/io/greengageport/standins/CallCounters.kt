package io.greengageport.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Number and size of successful calls of one kind; sizes cover bodies only, without headers. */
@Serializable
public data class CallCount(
    val calls: Long,
    @SerialName("received_bytes") val receivedBytes: Long,
    @SerialName("sent_bytes") val sentBytes: Long
)

/** Counts calls and body bytes by kind of call. Safe for concurrent use. */
internal class CallCounters {
    private class Totals {
        val calls = LongAdder()
        val received = LongAdder()
        val sent = LongAdder()
    }

    private val totalsByKind = ConcurrentHashMap<String, Totals>()

    /** Counts one call of [kind] with the sizes of its bodies. */
    fun add(kind: String, receivedBytes: Int, sentBytes: Int) {
        val s = totalsByKind.computeIfAbsent(kind) { Totals() }
        s.calls.increment()
        s.received.add(receivedBytes.toLong())
        s.sent.add(sentBytes.toLong())
    }

    /** Returns the counts so far, sorted by kind. */
    fun snapshot(): Map<String, CallCount> = totalsByKind.toSortedMap().mapValues { (_, s) ->
        CallCount(s.calls.sum(), s.received.sum(), s.sent.sum())
    }
}
