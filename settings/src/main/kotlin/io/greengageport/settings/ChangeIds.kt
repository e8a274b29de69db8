package io.greengageport.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The fates of the last [MAX_IDS] change ids, oldest first.
 *
 * [horizon] is the offset of the newest record whose id is forgotten. A change whose publisher
 * knew at least that offset cannot have been appended or withdrawn before it.
 */
internal class ChangeIds(val fates: PersistentMap<ChangeId, Fate>, val horizon: Long) {
    operator fun get(id: ChangeId): Fate? = fates[id]

    fun plus(id: ChangeId, fate: Fate): ChangeIds {
        val all = fates.put(id, fate)
        if (all.size <= MAX_IDS) return ChangeIds(all, horizon)
        val (oldest, forgotten) = all.entries.first()
        return ChangeIds(all.remove(oldest), maxOf(horizon, forgotten.offset))
    }

    companion object {
        /** More than a day's changes at 2,500 a day. */
        const val MAX_IDS = 4_096

        val EMPTY = ChangeIds(persistentMapOf(), 0)
    }
}

internal val Fate.offset: Long
    get() = when (this) {
        is Fate.Accepted -> version
        is Fate.Rejected -> offset
        is Fate.Withdrawn -> offset
    }
