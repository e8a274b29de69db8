package io.greengageport.gateway.state

import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.port.Change

/** Holds the configuration in force. Within a process its version never decreases. */
public class ConfigurationHolder(private val log: DecisionLog) : FeedConsumer<Configuration> {
    /** The configuration in force; null until the first one is read. */
    public var current: Configuration? = null
        private set

    /**
     * Called in this order with each configuration that takes effect. An error in one of them is
     * logged and does not keep the others from applying the configuration.
     */
    public val listeners: MutableList<(Configuration) -> Unit> = ArrayList()

    override fun onSnapshot(entries: List<Change<Configuration>>, end: Long): Unit =
        onChanges(entries)

    override fun onChanges(changes: List<Change<Configuration>>) {
        var newest: Configuration? = null
        for (change in changes) {
            when (change) {
                is Change.Put -> if (change.value.version > (newest?.version ?: -1)) {
                    newest = change.value
                }

                is Change.Removed -> log.record("config", "removal_ignored", "key" to change.key)

                is Change.Unreadable ->
                    log.record("config", "unreadable", "reason" to change.reason)
            }
        }
        newest?.let(::activate)
    }

    override fun onRecovered(downMillis: Long): Unit = Unit

    private fun activate(next: Configuration) {
        val previous = current
        if (previous != null && next.version <= previous.version) {
            if (next.version < previous.version) {
                log.record(
                    "config",
                    "older_ignored",
                    "version" to next.version,
                    "in_force" to previous.version
                )
            }
            return
        }
        current = next
        log.record(
            "config",
            "in_force",
            "version" to next.version,
            "previous" to previous?.version,
            "routes" to next.routes.routes.size,
            "services" to next.services.size,
            "keys" to next.organisationsByKey?.size
        )
        for (listener in listeners) notify(listener, next)
    }

    /**
     * Passes [next] to [listener]. An error must neither leave the other parts of the instance with
     * the previous configuration nor end the reading of the table: the version is in force, so
     * reading it again would not repeat the call.
     */
    private fun notify(listener: (Configuration) -> Unit, next: Configuration) {
        try {
            listener(next)
        } catch (e: RuntimeException) {
            log.record(
                "config",
                "listener_failed",
                "version" to next.version,
                "error" to e,
                "at" to e.stackTrace.firstOrNull()
            )
        }
    }
}
