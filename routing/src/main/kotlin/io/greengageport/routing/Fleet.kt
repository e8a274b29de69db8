package io.greengageport.routing

import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import java.util.concurrent.ConcurrentHashMap

/**
 * All runners that this instance knows, indexed per service.
 *
 * A change rebuilds the index of its own service only, and does so at the next decision; loads
 * aren't part of the index, so a load report costs no rebuild. Thread-safe.
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
        var built: ServiceFleet? = null
    }

    private val services = ConcurrentHashMap<ServiceName, Entry>()
    private val serviceOf = ConcurrentHashMap<RunnerId, ServiceName>()

    /** States that the model behind [service] has [layers] layers; 0 for a plain service. */
    public fun setLayers(service: ServiceName, layers: Int) {
        require(layers >= 0) { "the number of layers is not negative: $layers" }
        change(service) { this.layers = layers }
    }

    /** Adds or replaces a runner; one that changed its service leaves the old one. */
    public fun put(runner: Runner) {
        val previous = serviceOf.put(runner.id, runner.service)
        if (previous != null && previous != runner.service) {
            change(previous) { runners.remove(runner.id) }
        }
        val entry = services.computeIfAbsent(runner.service) { Entry() }
        synchronized(entry) {
            if (entry.runners.put(runner.id, runner) != runner) entry.built = null
        }
    }

    /** Forgets a runner. */
    public fun remove(id: RunnerId) {
        serviceOf.remove(id)?.let { change(it) { runners.remove(id) } }
    }

    /** The runner with this id, or null. */
    public fun runner(id: RunnerId): Runner? {
        val entry = serviceOf[id]?.let { services[it] } ?: return null
        return synchronized(entry) { entry.runners[id] }
    }

    /** The runners of [service] with their index; empty if the service is unknown. */
    public fun service(service: ServiceName): ServiceFleet {
        val entry = services[service] ?: return ServiceFleet(service, 0, emptyList())
        return synchronized(entry) {
            entry.built ?: ServiceFleet(service, entry.layers, entry.runners.values.toList())
                .also { entry.built = it }
        }
    }

    private fun change(service: ServiceName, action: Entry.() -> Unit) {
        val entry = services.computeIfAbsent(service) { Entry() }
        synchronized(entry) {
            entry.action()
            entry.built = null
        }
    }
}
