package io.greengageport.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The fates of the last [MAX_IDS] change ids, oldest first.
 *
 * [horizon] is the offset of the newest record whose id has been evicted. A change whose publisher
 * had read up to at least that offset cannot have been appended or withdrawn before it.
 */
internal class ChangeIds(val fates: PersistentMap<ChangeId, Fate>, val horizon: Long) {
    operator fun get(id: ChangeId): Fate? = fates[id]

    /** Records the fate of [id], and evicts the oldest id if more than [MAX_IDS] are held. */
    fun plus(id: ChangeId, fate: Fate): ChangeIds {
        val all = fates.put(id, fate)
        if (all.size <= MAX_IDS) return ChangeIds(all, horizon)
        val (oldest, forgotten) = all.entries.first()
        return ChangeIds(all.remove(oldest), maxOf(horizon, forgotten.offset))
    }

    companion object {
        /** Covers more than one day at 2,500 changes per day. */
        const val MAX_IDS = 4_096

        val EMPTY = ChangeIds(persistentMapOf(), 0)
    }
}

/** Offset of the record that decided or withdrew the change. */
internal val Fate.offset: Long
    get() = when (this) {
        is Fate.Accepted -> version
        is Fate.Rejected -> offset
        is Fate.Withdrawn -> offset
    }
