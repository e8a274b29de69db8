package io.greengageport.entry

import io.greengageport.common.Clock
import io.greengageport.common.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.tinylog.kotlin.Logger

/** A logged decision about a request. [part] is the component that decided. */
@Serializable
public data class Decision(
    @SerialName("at_ms") val atMillis: Long,
    val request: RequestId,
    val part: String,
    val text: String
)

/**
 * Writes a log line for each decision and keeps the first decisions about each of the latest
 * [capacity] requests in memory for the explain command.
 *
 * ```
 * decisions.record(id, "routing", "chain=r1[0,6)>r4[6,12) expected_ms=41")
 * ```
 */
public class DecisionLog(private val clock: Clock, private val capacity: Int = CAPACITY) {
    private val lock = Any()
    private val byRequest = LinkedHashMap<RequestId, MutableList<Decision>>()

    /** Logs [text] with the prefix [part] and the id of the request. */
    public fun record(request: RequestId, part: String, text: String) {
        Logger.info("$part: request=$request $text")
        synchronized(lock) {
            val list = byRequest.getOrPut(request) { ArrayList(DECISIONS_OF_A_REQUEST) }
            if (list.size < MAX_DECISIONS_OF_A_REQUEST) {
                list += Decision(clock.wallMillis(), request, part, text)
            }
            if (byRequest.size > capacity) byRequest.remove(byRequest.keys.first())
        }
    }

    /** The decisions about [request], oldest first; empty if they are no longer kept. */
    public fun of(request: RequestId): List<Decision> =
        synchronized(lock) { byRequest[request]?.toList().orEmpty() }

    private companion object {
        const val CAPACITY = 4_096
        const val DECISIONS_OF_A_REQUEST = 4
        const val MAX_DECISIONS_OF_A_REQUEST = 32
    }
}
