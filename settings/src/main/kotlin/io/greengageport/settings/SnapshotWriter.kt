package io.greengageport.settings

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.Members
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import org.tinylog.kotlin.Logger

/** Appends a snapshot when it is due and no other instance is about to. */
internal class SnapshotWriter(
    private val log: LogService,
    private val holder: StateHolder,
    private val tracker: SnapshotTracker,
    private val members: Members,
    private val clock: Clock,
    private val config: SettingsStoreConfig
) {
    private var dueSinceMillis: Long? = null
    private var triedAtMillis: Long? = null

    /** Writes a snapshot if it is this instance's turn; returns whether one was written. */
    suspend fun writeIfDue(): Boolean {
        val wall = clock.wallMillis()
        val now = clock.monotonicMillis()
        if (!tracker.isDue(wall)) {
            dueSinceMillis = null
            return false
        }
        // The parts just written may not have been read back yet.
        val quiet = config.snapshotQuiet.inWholeMilliseconds
        triedAtMillis?.let { if (now - it < quiet) return false }
        val since = dueSinceMillis ?: now.also { dueSinceMillis = it }
        val position = members.live().indexOfFirst { it.id == members.self }.coerceAtLeast(0)
        if (now - since < position * config.snapshotStagger.inWholeMilliseconds) return false
        val lastPart = tracker.lastPartAtMillis
        if (lastPart != null && wall - lastPart < quiet) return false
        dueSinceMillis = null
        triedAtMillis = now
        return write(holder.state)
    }

    suspend fun write(state: SettingsState): Boolean {
        val parts = Snapshot.split(state, config.snapshotPartBytes)
        for (p in parts) if (!append(p)) return false
        Logger.info { "settings: wrote a snapshot as of ${state.through}, ${parts.size} parts" }
        return true
    }

    /** A part that may have been appended is appended again; repeated parts are harmless. */
    private suspend fun append(part: SnapshotPart): Boolean {
        val payload = RecordCodec.encode(part)
        repeat(ATTEMPTS) {
            val error = log.append(config.stream, payload).fold({ return true }, { e -> e })
            if (error !is LogError.Uncertain) {
                Logger.warn { "settings: snapshot as of ${part.through} not written: $error" }
                return false
            }
        }
        return false
    }

    private companion object {
        const val ATTEMPTS = 3
    }
}
