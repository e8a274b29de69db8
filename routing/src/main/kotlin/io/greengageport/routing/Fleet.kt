package io.greengageport.routing

import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import java.util.concurrent.ConcurrentHashMap

/**
 * All runners known to this instance, indexed by service.
 *
 * A change invalidates only the index of the affected service, which is rebuilt at the next
 * decision. Loads are not part of the index, so a load report does not invalidate it. Thread-safe.
 *
 * ```
 * fleet.setLayers(service, 48)
 * fleet.put(runner)
 * val serviceFleet = fleet.service(service)
 * ```
 */
public class Fleet {
    private class Entry {
        var layers = 0
        val runners = sortedMapOf<RunnerId, Runner>()
        var index: ServiceFleet? = null
    }

    private val services = ConcurrentHashMap<ServiceName, Entry>()
    private val serviceOf = ConcurrentHashMap<RunnerId, ServiceName>()

    /** Sets the number of layers of the model behind [service]; 0 for a plain service. */
    public fun setLayers(service: ServiceName, layers: Int) {
        require(layers >= 0) { "the number of layers must not be negative, but is $layers" }
        update(service) { this.layers = layers }
    }

    /** Adds or replaces a runner; if its service changed, it is removed from the previous one. */
    public fun put(runner: Runner) {
        val previous = serviceOf.put(runner.id, runner.service)
        if (previous != null && previous != runner.service) {
            update(previous) { runners.remove(runner.id) }
        }
        val entry = services.computeIfAbsent(runner.service) { Entry() }
        synchronized(entry) {
            if (entry.runners.put(runner.id, runner) != runner) entry.index = null
        }
    }

    /** Removes a runner; does nothing if it is unknown. */
    public fun remove(id: RunnerId) {
        serviceOf.remove(id)?.let { update(it) { runners.remove(id) } }
    }

    /** Returns the runner with this id, or null if it is unknown. */
    public fun runner(id: RunnerId): Runner? {
        val entry = serviceOf[id]?.let { services[it] } ?: return null
        return synchronized(entry) { entry.runners[id] }
    }

    /** Returns the indexed runners of [service]; empty if the service is unknown. */
    public fun service(service: ServiceName): ServiceFleet {
        val entry = services[service] ?: return ServiceFleet(service, 0, emptyList())
        return synchronized(entry) {
            entry.index ?: ServiceFleet(service, entry.layers, entry.runners.values.toList())
                .also { entry.index = it }
        }
    }

    private fun update(service: ServiceName, action: Entry.() -> Unit) {
        val entry = services.computeIfAbsent(service) { Entry() }
        synchronized(entry) {
            entry.action()
            entry.index = null
        }
    }
}
