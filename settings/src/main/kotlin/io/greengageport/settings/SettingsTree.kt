package io.greengageport.settings

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.ServiceName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * An immutable tree of documents with indexes. Versions share structure.
 *
 * A tree returned by [replace] without problems is valid as a whole. [children] holds the direct
 * children of each path. [serviceUses] and [rankUses] count the references by organisations.
 */
internal class SettingsTree(
    val documents: PersistentMap<SettingsPath, SettingsDocument>,
    val children: PersistentMap<SettingsPath, PersistentSet<SettingsPath>>,
    val services: PersistentMap<ServiceName, SettingsPath>,
    val organisations: PersistentMap<OrganisationName, SettingsPath>,
    val callerKeys: PersistentMap<KeyHash, SettingsPath>,
    val serviceUses: PersistentMap<ServiceName, Int>,
    val rankUses: PersistentMap<RankName, Int>,
    val hash: TreeHash
) {
    /** Returns the documents at or below [path], sorted by path. */
    fun documentsUnder(path: SettingsPath): Map<SettingsPath, SettingsDocument> {
        val found = sortedMapOf<SettingsPath, SettingsDocument>()
        collect(path, found)
        return found
    }

    /** Returns whether there is a document at or below [path]. */
    fun hasDocumentsAt(path: SettingsPath): Boolean = path in documents || path in children

    /** Replaces all documents at or below [at] and validates the affected documents. */
    fun replace(at: SettingsPath, replacement: Map<SettingsPath, SettingsDocument>): TreeChange =
        TreeEditor(this).replace(at, replacement)

    private fun collect(path: SettingsPath, into: MutableMap<SettingsPath, SettingsDocument>) {
        documents[path]?.let { into[path] = it }
        children[path]?.forEach { collect(it, into) }
    }

    companion object {
        val EMPTY = SettingsTree(
            documents = persistentHashMapOf(),
            children = persistentHashMapOf(),
            services = persistentHashMapOf(),
            organisations = persistentHashMapOf(),
            callerKeys = persistentHashMapOf(),
            serviceUses = persistentHashMapOf(),
            rankUses = persistentHashMapOf(),
            hash = TreeHash.EMPTY
        )
    }
}

/** The tree after a change; it is valid if [problems] is empty. */
internal class TreeChange(val tree: SettingsTree, val problems: List<Problem>)
