package io.greengageport.gateway.state

import io.greengageport.common.RunnerId
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.Configuration
import io.greengageport.routing.Fleet
import io.greengageport.routing.Runner

/** Keeps the [fleet] that routing plans with in step with the directory and the configuration. */
internal class FleetIndex(
    private val directory: BackendDirectory,
    private val configuration: () -> Configuration?
) {
    val fleet = Fleet()

    /** Takes in a server that appeared, changed or went. */
    fun update(id: RunnerId, server: BackendServer?) {
        val runner = server?.let(::runner)
        if (runner == null) fleet.remove(id) else fleet.put(runner)
    }

    /** Takes in a new configuration, which may state other cards or layers. */
    fun rebuild(configuration: Configuration) {
        for (s in configuration.services.values) fleet.setLayers(s.name, s.engine?.layers ?: 0)
        for (s in directory.all) update(s.id, s)
    }

    /** The server as routing sees it; null if it can't take work at present. */
    private fun runner(server: BackendServer): Runner? {
        if (server.isLeaving) return null
        val engine = configuration()?.services?.get(server.service)?.engine
            ?: return Runner(server.id, server.service, server.dataCentre)
        val card = engine.cards[server.card] ?: return null
        val layers = server.layers ?: return null
        return Runner(
            id = server.id,
            service = server.service,
            dataCentre = server.dataCentre,
            layers = layers,
            version = server.modelVersion?.toString() ?: "",
            card = card
        )
    }
}
