package io.greengageport.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable

/**
 * The version of each path: the offset of the last accepted change at, above or below it.
 *
 * Removed paths are remembered, so that a change based on the time before the removal conflicts.
 * Only the newest [MAX_REMOVED] are; the version of a path that is neither present nor remembered
 * is then that of the newest forgotten removal, [forgotten], instead of 0.
 */
internal class PathVersions(
    val marks: PersistentMap<SettingsPath, Mark>,
    val removed: PersistentSet<SettingsPath>,
    val forgotten: Long
) {
    fun of(path: SettingsPath, tree: SettingsTree): Long {
        val above = path.ancestors().maxOfOrNull { marks[it]?.at ?: 0 } ?: 0
        val own = marks[path]?.subtree ?: if (tree.has(path)) 0 else forgotten
        return maxOf(above, own)
    }

    /** Versions after the change at [path] by the record at [offset], which led to [tree]. */
    fun changed(
        path: SettingsPath,
        offset: Long,
        before: SettingsTree,
        tree: SettingsTree
    ): PathVersions {
        val m = marks.builder()
        val r = removed.builder()
        // The change at the path outdates all that is below.
        below(path, before).forEach {
            m.remove(it)
            r.remove(it)
        }
        m[path] = Mark(offset, offset)
        for (a in path.ancestors()) m[a] = Mark(m[a]?.at ?: 0, offset)
        for (p in listOf(path) + path.ancestors()) {
            r.remove(p)
            if (!tree.has(p) && p.segments.size > 1) r.add(p)
        }
        var floor = forgotten
        while (r.size > MAX_REMOVED) {
            val oldest = r.minWith(compareBy({ m.getValue(it).subtree }, { it }))
            r.remove(oldest)
            floor = maxOf(floor, m.remove(oldest)?.subtree ?: 0)
        }
        return PathVersions(m.build(), r.build(), floor)
    }

    private fun below(path: SettingsPath, before: SettingsTree): List<SettingsPath> {
        if (path.isDocument) return emptyList()
        val present = before.under(path).keys.flatMap { p -> listOf(p) + p.ancestors() }
        return (present + removed).filter { it != path && path.covers(it) }
    }

    @Serializable
    data class Mark(val at: Long, val subtree: Long)

    companion object {
        const val MAX_REMOVED = 4_096

        val EMPTY = PathVersions(persistentHashMapOf(), persistentHashSetOf(), 0)
    }
}
