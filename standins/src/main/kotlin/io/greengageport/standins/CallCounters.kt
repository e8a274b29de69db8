package io.greengageport.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Successful calls of one kind; bytes are those of bodies, without HTTP headers. */
@Serializable
public data class CallCount(
    val calls: Long,
    @SerialName("received_bytes") val receivedBytes: Long,
    @SerialName("sent_bytes") val sentBytes: Long
)

/** Counts calls by kind. */
internal class CallCounters {
    private class Sum {
        val calls = LongAdder()
        val received = LongAdder()
        val sent = LongAdder()
    }

    private val sums = ConcurrentHashMap<String, Sum>()

    fun add(kind: String, received: Int, sent: Int) {
        val s = sums.computeIfAbsent(kind) { Sum() }
        s.calls.increment()
        s.received.add(received.toLong())
        s.sent.add(sent.toLong())
    }

    fun snapshot(): Map<String, CallCount> = sums.toSortedMap().mapValues { (_, s) ->
        CallCount(s.calls.sum(), s.received.sum(), s.sent.sum())
    }
}
