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
 * Reads the cache events of the engines in the own data centre.
 *
 * Other data centres are left out: a cached prefix there seldom outweighs the longer links, and
 * the number of engines that an instance asks stays bounded.
 */
internal class CacheEventFollower(
    private val client: HttpClient,
    private val backends: BackendFleet,
    private val dataCentre: DataCentre
) {
    private val next = ConcurrentHashMap<RunnerId, Long>()
    private val boots = ConcurrentHashMap<RunnerId, String>()

    /** Reads once from all engines. */
    suspend fun poll(): Unit = coroutineScope {
        val engines = backends.all().filter { it.layers != null && it.dataCentre == dataCentre }
        next.keys.retainAll(engines.map { it.id }.toSet())
        engines.map { async { poll(it) } }.awaitAll()
    }

    private suspend fun poll(engine: ListedRunner) {
        val boot = backends.report(engine.id)?.bootId.orEmpty()
        val restarted = boots.put(engine.id, boot).let { it != null && it != boot }
        if (restarted) {
            next.remove(engine.id)
            backends.prefixes.forget(engine.id)
        }
        for (e in events(engine)) {
            backends.prefixes.onEvent(
                engine.id,
                if (e.evicted) {
                    CacheEvent.Evicted(e.sequence, e.block)
                } else {
                    CacheEvent.Stored(e.sequence, e.block)
                }
            )
            next.merge(engine.id, e.sequence + 1, ::maxOf)
        }
    }

    private suspend fun events(engine: ListedRunner): List<WireEvent> = try {
        val r = client.get("http://${engine.address}/v1/cache-events") {
            timeout { requestTimeoutMillis = TIMEOUT_MILLIS }
            parameter("from", next[engine.id] ?: 1)
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
