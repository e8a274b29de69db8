package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration
import io.greengageport.routing.EngineProfile
import io.greengageport.routing.Fleet
import io.greengageport.routing.Runner

/** Updates the [fleet] that routing plans with from the directory and the configuration. */
internal class FleetIndex(
    private val directory: BackendDirectory,
    private val configuration: () -> Configuration?
) {
    val fleet = Fleet()

    /** The last profiles of services that the configuration in force no longer has. */
    private val removedProfiles = HashMap<ServiceName, EngineProfile>()
    private var previous: Configuration? = null

    /** Applies a change of a server; [server] is null if it was removed. */
    fun update(id: RunnerId, server: BackendServer?) {
        val runner = server?.let(::runner)
        if (runner == null) fleet.remove(id) else fleet.put(runner)
    }

    /**
     * Applies a new [configuration], whose accelerators and numbers of layers may differ. The
     * engines of a service that it no longer has keep their layers, because requests that still run
     * may have to move to them.
     */
    fun rebuild(configuration: Configuration) {
        updateRemovedProfiles(configuration)
        for (s in configuration.services.values) fleet.setLayers(s.name, s.engine?.layers ?: 0)
        for (s in directory.all) update(s.id, s)
    }

    private fun updateRemovedProfiles(configuration: Configuration) {
        for (s in previous?.services?.values.orEmpty()) {
            s.engine?.let {
                removedProfiles[s.name] = it
            }
        }
        removedProfiles -= configuration.services.keys
        removedProfiles.keys.retainAll(directory.all.mapTo(HashSet()) { it.service })
        previous = configuration
    }

    /** Converts the server for routing; returns null if it can't take work at present. */
    private fun runner(server: BackendServer): Runner? {
        if (server.isLeaving) return null
        val service = configuration()?.services?.get(server.service)
        val profile = if (service == null) removedProfiles[server.service] else service.engine
        val engine = profile ?: return Runner(server.id, server.service, server.dataCentre)
        val accelerator = engine.accelerators[server.accelerator] ?: return null
        val layers = server.layers ?: return null
        return Runner(
            id = server.id,
            service = server.service,
            dataCentre = server.dataCentre,
            layers = layers,
            version = server.modelVersion?.toString() ?: "",
            accelerator = accelerator
        )
    }
}
