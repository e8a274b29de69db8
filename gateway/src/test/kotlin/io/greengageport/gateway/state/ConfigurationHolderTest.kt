package io.greengageport.gateway.state

import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.configuration
import io.greengageport.gateway.port.Change
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a configuration that goes back to an older version within a process. */
class ConfigurationHolderTest {
    private val holder = ConfigurationHolder(RecordedLog().log)

    private fun put(vararg versions: Long) =
        versions.map { Change.Put("config", configuration(version = it)) }

    @Test
    fun `takes the newest of several changes`() {
        holder.onChanges(put(3, 7, 5))
        expectThat(holder.current?.version).isEqualTo(7)
    }

    @Test
    fun `ignores an older version, also in a snapshot after the history was lost`() {
        holder.onChanges(put(7))
        holder.onSnapshot(put(5), end = 6)
        expectThat(holder.current?.version).isEqualTo(7)
    }

    @Test
    fun `keeps what is in force when an entry is unreadable or removed`() {
        holder.onChanges(put(7))
        holder.onChanges(listOf(Change.Unreadable("config", "not JSON"), Change.Removed("config")))
        expectThat(holder.current?.version).isEqualTo(7)
    }

    @Test
    fun `knows nothing at first`() {
        holder.onSnapshot(emptyList(), end = 6)
        expectThat(holder.current).isNull()
    }
}
