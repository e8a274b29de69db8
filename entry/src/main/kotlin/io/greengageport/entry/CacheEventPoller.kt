package io.greengageport.entry

import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import io.greengageport.ports.CacheEvent as WireEvent
import io.greengageport.ports.ListedRunner
import io.greengageport.routing.CacheEvent
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.bodyAsText
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerializationException

/**
 * Polls the cache events of the engines in this instance's data centre.
 *
 * Engines in other data centres are skipped: a cached prefix there rarely outweighs the link
 * latency, and this bounds the number of engines that an instance polls.
 */
internal class CacheEventPoller(
    private val client: HttpClient,
    private val backends: BackendFleet,
    private val dataCentre: DataCentre
) {
    private val nextSequence = ConcurrentHashMap<RunnerId, Long>()
    private val bootIds = ConcurrentHashMap<RunnerId, String>()

    /** Polls all engines once, concurrently. */
    suspend fun poll(): Unit = coroutineScope {
        val engines = backends.listedRunners()
            .filter { it.layers != null && it.dataCentre == dataCentre }
        nextSequence.keys.retainAll(engines.map { it.id }.toSet())
        engines.map { async { poll(it) } }.awaitAll()
    }

    private suspend fun poll(engine: ListedRunner) {
        val bootId = backends.report(engine.id)?.bootId.orEmpty()
        val isRestarted = bootIds.put(engine.id, bootId).let { it != null && it != bootId }
        if (isRestarted) {
            nextSequence.remove(engine.id)
            backends.prefixes.forget(engine.id)
        }
        for (e in fetchEvents(engine)) {
            backends.prefixes.onEvent(
                engine.id,
                if (e.evicted) {
                    CacheEvent.Evicted(e.sequence, e.block)
                } else {
                    CacheEvent.Stored(e.sequence, e.block)
                }
            )
            nextSequence.merge(engine.id, e.sequence + 1, ::maxOf)
        }
    }

    /** Returns the events since the last poll; none on a failure, as the next poll asks again. */
    private suspend fun fetchEvents(engine: ListedRunner): List<WireEvent> = try {
        val r = client.get("http://${engine.address}/v1/cache-events") {
            timeout { requestTimeoutMillis = TIMEOUT_MILLIS }
            parameter("from", nextSequence[engine.id] ?: 1)
        }
        entryJson.decodeFromString<List<WireEvent>>(r.bodyAsText())
    } catch (e: IOException) {
        emptyList()
    } catch (e: SerializationException) {
        emptyList()
    }

    private companion object {
        const val TIMEOUT_MILLIS = 500L
    }
}
