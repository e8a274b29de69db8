package io.greengageport.settings

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.ServiceName

/**
 * An immutable, indexed view of the settings at one version. Creating one is cheap.
 *
 * ```
 * val organisation = view.organisationByKey(KeyHash.of(key))
 * val service = view.service(ServiceName("sheets"))
 * ```
 */
public class SettingsView(private val state: SettingsState) {
    /** Offset of the last accepted change; 0 for the empty tree. */
    public val version: Long get() = state.version

    /** Hash of all documents. */
    public val hash: TreeHash get() = state.hash

    /** Ranks sorted by priority, most urgent first. */
    public val ranks: List<Rank> by lazy(LazyThreadSafetyMode.PUBLICATION) {
        documents(SettingsPath("ranks"))
            .map { (p, d) -> Rank(RankName(p.name), d as RankSettings) }
            .sortedBy { it.settings.priority }
    }

    private val ranksByName by lazy(LazyThreadSafetyMode.PUBLICATION) {
        ranks.associateBy { it.name }
    }

    /** Services sorted by path. */
    public val services: List<Service> by lazy(LazyThreadSafetyMode.PUBLICATION) {
        documents(SettingsPath("services")).keys.mapNotNull { service(ServiceName(it.name)) }
    }

    /** The rank [name], or null if there is none. */
    public fun rank(name: RankName): Rank? = ranksByName[name]

    /** The service [name], or null if there is none. */
    public fun service(name: ServiceName): Service? = state.tree.services[name]?.let { p ->
        Service(name, p.segments[1], state.tree.documents.getValue(p) as ServiceSettings)
    }

    /** The organisation [name], or null if there is none. */
    public fun organisation(name: OrganisationName): Organisation? =
        state.tree.organisations[name]?.let(::organisationAt)

    /** The organisation of the key with hash [key], or null if there is none. */
    public fun organisationByKey(key: KeyHash): Organisation? =
        state.tree.callerKeys[key]?.let(::organisationAt)

    /** Number of organisations. */
    public val organisationCount: Int get() = state.tree.organisations.size

    /** The document at [path], or null if there is none. */
    public fun document(path: SettingsPath): SettingsDocument? = state.tree.documents[path]

    /** Returns the documents at or below [path], sorted by path. */
    public fun documents(path: SettingsPath): Map<SettingsPath, SettingsDocument> =
        state.tree.documentsUnder(path)

    /** Returns the base version for a change of [path]. */
    public fun pathVersion(path: SettingsPath): Long = state.pathVersion(path)

    /** Whether the holder of [key] can write [path]; all can if there is no access document. */
    public fun canWrite(key: KeyHash, path: SettingsPath): Boolean {
        val all = documents(SettingsPath("access")).values.map { it as AccessSettings }
        return all.isEmpty() ||
            all.any { a -> key in a.keyHashes && a.prefixes.any { it.covers(path) } }
    }

    /** Returns the stored changes at, above or below [path], oldest first. */
    public fun history(path: SettingsPath = SettingsPath.ROOT): List<HistoryEntry> =
        state.history.entries.filter { it.path.covers(path) || path.covers(it.path) }

    internal fun replace(at: SettingsPath, documents: Map<SettingsPath, SettingsDocument>) =
        state.tree.replace(at, documents)

    private fun organisationAt(path: SettingsPath) = Organisation(
        OrganisationName(path.name),
        path.segments[1],
        state.tree.documents.getValue(path) as OrganisationSettings
    )
}

/** A rank with its name. */
public data class Rank(val name: RankName, val settings: RankSettings)

/** An organisation with its name and the team that owns it. */
public data class Organisation(
    val name: OrganisationName,
    val team: String,
    val settings: OrganisationSettings
)
