package io.greengageport.gateway.state

import io.greengageport.common.LayerRange
import io.greengageport.gateway.ACCELERATOR
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.configuration
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.Change
import io.greengageport.gateway.server
import kotlinx.collections.immutable.toImmutableMap
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.map

/** Guards against requests that lose the engines of their model to a configuration. */
class FleetIndexTest {
    private var current: Configuration? = null
    private val directory = BackendDirectory(SteppedClock(), RecordedLog().log)
    private val index = FleetIndex(directory) { current }
    private val engine = server("engine", service = MODEL, layers = LayerRange(0, 80))

    private fun apply(next: Configuration) {
        current = next
        index.rebuild(next)
    }

    private fun addEngine() {
        directory.onChanged = { id, _, now -> index.update(id, now) }
        directory.onChanges(listOf(Change.Put("engine", engine)))
    }

    private fun withoutModel(version: Long) =
        configuration(version).let { it.copy(services = (it.services - MODEL).toImmutableMap()) }

    /** Guards against a request that cannot be moved to other engines when its chain fails. */
    @Test
    fun `engines of a removed service keep their layers for requests that still run`() {
        apply(configuration(1))
        addEngine()
        apply(withoutModel(2))
        index.update(engine.id, engine)
        expectThat(index.fleet.service(MODEL).runners) {
            map { it.layers }.isEqualTo(listOf(LayerRange(0, 80)))
            map { it.accelerator }.isEqualTo(listOf(ACCELERATOR))
        }
    }

    /** Guards against chains through servers that have no layers any more. */
    @Test
    fun `engines of a service that becomes a plain one have no layers`() {
        apply(configuration(1))
        addEngine()
        val plain = configuration(2).let {
            it.copy(
                services = (
                    it.services + (
                        MODEL to Service(
                            MODEL,
                            "/health",
                            100,
                            null
                        )
                        )
                    ).toImmutableMap()
            )
        }
        apply(plain)
        apply(withoutModel(3))
        expectThat(index.fleet.service(MODEL).isPlain).isTrue()
        expectThat(index.fleet.service(MODEL).runners).map { it.layers }.isEqualTo(listOf(null))
    }
}
