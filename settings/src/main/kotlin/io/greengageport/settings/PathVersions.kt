package io.greengageport.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable

/**
 * The version of each path: the offset of the last accepted change at, above or below it.
 *
 * Removed paths keep their version, so that a change based on a version before the removal
 * conflicts. Only the newest [MAX_REMOVED] removals are stored. A path that is neither present nor
 * stored has the version of the newest evicted removal, [forgotten], instead of 0.
 */
internal class PathVersions(
    val marks: PersistentMap<SettingsPath, Mark>,
    val removed: PersistentSet<SettingsPath>,
    val forgotten: Long
) {
    /** Returns the version of [path] in [tree]. */
    fun versionOf(path: SettingsPath, tree: SettingsTree): Long {
        val above = path.ancestors().maxOfOrNull { marks[it]?.at ?: 0 } ?: 0
        val own = marks[path]?.subtree ?: if (tree.hasDocumentsAt(path)) 0 else forgotten
        return maxOf(above, own)
    }

    /**
     * Returns the versions after a change of [path] by the record at [offset].
     *
     * [before] and [tree] are the trees before and after the change.
     */
    fun withChange(
        path: SettingsPath,
        offset: Long,
        before: SettingsTree,
        tree: SettingsTree
    ): PathVersions {
        val m = marks.builder()
        val r = removed.builder()
        // The version of the changed path replaces the versions of all paths below it.
        pathsBelow(path, before).forEach {
            m.remove(it)
            r.remove(it)
        }
        m[path] = Mark(offset, offset)
        for (a in path.ancestors()) m[a] = Mark(m[a]?.at ?: 0, offset)
        for (p in listOf(path) + path.ancestors()) {
            r.remove(p)
            if (!tree.hasDocumentsAt(p) && p.segments.size > 1) r.add(p)
        }
        var floor = forgotten
        while (r.size > MAX_REMOVED) {
            val oldest = r.minWith(compareBy({ m.getValue(it).subtree }, { it }))
            r.remove(oldest)
            floor = maxOf(floor, m.remove(oldest)?.subtree ?: 0)
        }
        return PathVersions(m.build(), r.build(), floor)
    }

    private fun pathsBelow(path: SettingsPath, before: SettingsTree): List<SettingsPath> {
        if (path.isDocument) return emptyList()
        val present = before.documentsUnder(path).keys.flatMap { p -> listOf(p) + p.ancestors() }
        return (present + removed).filter { it != path && path.covers(it) }
    }

    /** Offsets of the last changes of the path itself ([at]) and at or below it ([subtree]). */
    @Serializable
    data class Mark(val at: Long, val subtree: Long)

    companion object {
        const val MAX_REMOVED = 4_096

        val EMPTY = PathVersions(persistentHashMapOf(), persistentHashSetOf(), 0)
    }
}
