package io.greengageport.gateway.state

import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.configuration
import io.greengageport.gateway.port.Change
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against reverting to an older configuration within a process. */
class ConfigurationHolderTest {
    private val holder = ConfigurationHolder(RecordedLog().log)

    private fun put(vararg versions: Long) =
        versions.map { Change.Put("config", configuration(version = it)) }

    @Test
    fun `activates the newest of several changes`() {
        holder.onChanges(put(3, 7, 5))
        expectThat(holder.current?.version).isEqualTo(7)
    }

    @Test
    fun `ignores an older version, even in a snapshot after a lost history`() {
        holder.onChanges(put(7))
        holder.onSnapshot(put(5), end = 6)
        expectThat(holder.current?.version).isEqualTo(7)
    }

    @Test
    fun `keeps the current configuration when its entry is unreadable or removed`() {
        holder.onChanges(put(7))
        holder.onChanges(listOf(Change.Unreadable("config", "not JSON"), Change.Removed("config")))
        expectThat(holder.current?.version).isEqualTo(7)
    }

    @Test
    fun `has no configuration after an empty snapshot`() {
        holder.onSnapshot(emptyList(), end = 6)
        expectThat(holder.current).isNull()
    }

    /** Guards against a configuration that stays half applied after an error in one part. */
    @Test
    fun `tells all listeners of a configuration, even if one of them fails`() {
        val versions = ArrayList<Long>()
        holder.listeners += { error("cannot apply version ${it.version}") }
        holder.listeners += { versions += it.version }
        holder.onChanges(put(7))
        holder.onChanges(put(8))
        expectThat(versions).containsExactly(7, 8)
    }
}
