package io.greengageport.settings

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.Members
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import org.tinylog.kotlin.Logger

/** Appends a snapshot to the log if one is due and no other instance is writing it. */
internal class SnapshotWriter(
    private val log: LogService,
    private val holder: StateHolder,
    private val tracker: SnapshotTracker,
    private val members: Members,
    private val clock: Clock,
    private val config: SettingsStoreConfig
) {
    private var dueSinceMillis: Long? = null
    private var lastAttemptAtMillis: Long? = null

    /** Writes a snapshot if one is due at this instance; returns whether it was written. */
    suspend fun writeIfDue(): Boolean {
        val wallMillis = clock.wallMillis()
        val now = clock.monotonicMillis()
        if (!tracker.isDue(wallMillis)) {
            dueSinceMillis = null
            return false
        }
        // The parts of the last attempt may not have been read back yet.
        val quietMillis = config.snapshotQuietPeriod.inWholeMilliseconds
        lastAttemptAtMillis?.let { if (now - it < quietMillis) return false }
        val sinceMillis = dueSinceMillis ?: now.also { dueSinceMillis = it }
        val position = members.live().indexOfFirst { it.id == members.self }.coerceAtLeast(0)
        if (now - sinceMillis < position * config.snapshotStagger.inWholeMilliseconds) return false
        val lastPartMillis = tracker.lastPartAtMillis
        if (lastPartMillis != null && wallMillis - lastPartMillis < quietMillis) return false
        dueSinceMillis = null
        lastAttemptAtMillis = now
        return write(holder.state)
    }

    /** Appends all parts of the snapshot of [state]; returns whether it succeeded. */
    suspend fun write(state: SettingsState): Boolean {
        val parts = Snapshot.split(state, config.snapshotPartBytes)
        for (p in parts) if (!append(p)) return false
        Logger.info { "settings: wrote a snapshot as of ${state.lastOffset}, ${parts.size} parts" }
        return true
    }

    /** Appends a part, and retries if the outcome is uncertain; duplicates are ignored. */
    private suspend fun append(part: SnapshotPart): Boolean {
        val payload = RecordCodec.encode(part)
        repeat(MAX_ATTEMPTS) {
            val error = log.append(config.stream, payload).fold({ return true }, { e -> e })
            if (error !is LogError.Uncertain) {
                Logger.warn { "settings: cannot write snapshot at ${part.lastOffset}: $error" }
                return false
            }
        }
        return false
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
