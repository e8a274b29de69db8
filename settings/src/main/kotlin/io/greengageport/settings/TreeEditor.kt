package io.greengageport.settings

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.ServiceName
import kotlinx.collections.immutable.persistentHashSetOf

/**
 * Applies one replacement to a valid tree and validates only the documents that it can affect.
 *
 * The cost is proportional to the number of replaced documents, not to the size of the tree. The
 * few ranks and access documents are validated as a whole.
 */
internal class TreeEditor(private val base: SettingsTree) {
    private val documents = base.documents.builder()
    private val children = base.children.builder()
    private val services = base.services.builder()
    private val organisations = base.organisations.builder()
    private val callerKeys = base.callerKeys.builder()
    private val serviceUses = base.serviceUses.builder()
    private val rankUses = base.rankUses.builder()
    private var hash = base.hash
    private val problems = mutableListOf<Problem>()

    /** Replaces all documents at or below [at] with the given ones. */
    fun replace(at: SettingsPath, replacement: Map<SettingsPath, SettingsDocument>): TreeChange {
        val removed = base.documentsUnder(at)
        removed.forEach { (p, d) -> removeDocument(p, d) }
        val sorted = replacement.toSortedMap()
        for ((path, document) in sorted) {
            if (checkPlacement(at, path, document)) addDocument(path, document)
        }
        sorted.forEach { (p, d) -> checkReferences(p, d) }
        checkRemovedTargets(removed)
        val kinds = (removed.values + replacement.values).mapTo(mutableSetOf()) { it.kind }
        if (SettingsKind.RANKS in kinds) checkRanks()
        if (SettingsKind.ACCESS in kinds) checkAccess()
        return TreeChange(build(), problems.distinct().sorted())
    }

    private fun build() = SettingsTree(
        documents.build(),
        children.build(),
        services.build(),
        organisations.build(),
        callerKeys.build(),
        serviceUses.build(),
        rankUses.build(),
        hash
    )

    private fun checkPlacement(at: SettingsPath, path: SettingsPath, d: SettingsDocument): Boolean {
        val isPlaced = at.covers(path) && path.isValid && path.isDocument && path.kind == d.kind
        if (!isPlaced) {
            val segments = "segments like ${SettingsPath.NAME_PATTERN}"
            val allowed = "documents at or below $at: ${pathPattern(d.kind)}, $segments"
            problems += Problem(ProblemKind.MISPLACED, path, "", "${d.kind} document", allowed)
        }
        return isPlaced
    }

    private fun pathPattern(kind: SettingsKind) =
        if (kind.depth == 2) "${kind.segment}/<name>" else "${kind.segment}/<team>/<name>"

    private fun removeDocument(path: SettingsPath, document: SettingsDocument) {
        documents.remove(path)
        hash -= TreeHash.of(path, document)
        unlink(path)
        when (document) {
            is ServiceSettings -> services.remove(ServiceName(path.name))

            is OrganisationSettings -> {
                organisations.remove(OrganisationName(path.name))
                document.keyHashes.forEach { callerKeys.remove(it) }
                document.services?.forEach { adjustCount(serviceUses, it, -1) }
                document.ranks?.forEach { adjustCount(rankUses, it, -1) }
            }

            is RankSettings, is AccessSettings -> Unit
        }
    }

    private fun addDocument(path: SettingsPath, document: SettingsDocument) {
        problems += DocumentChecker(path).check(document)
        documents[path] = document
        hash += TreeHash.of(path, document)
        link(path)
        when (document) {
            is ServiceSettings -> {
                val other = services.put(ServiceName(path.name), path)
                if (other != null) addDuplicate(path, "", "service '${path.name}'", other)
            }

            is OrganisationSettings -> addOrganisation(path, document)

            is RankSettings, is AccessSettings -> Unit
        }
    }

    private fun addOrganisation(path: SettingsPath, document: OrganisationSettings) {
        val other = organisations.put(OrganisationName(path.name), path)
        if (other != null) addDuplicate(path, "", "organisation '${path.name}'", other)
        for (key in document.keyHashes) {
            val owner = callerKeys.put(key, path)
            if (owner != null && owner != path) addDuplicate(path, "keyHashes", "key $key", owner)
        }
        document.services?.forEach { adjustCount(serviceUses, it, 1) }
        document.ranks?.forEach { adjustCount(rankUses, it, 1) }
    }

    private fun addDuplicate(path: SettingsPath, field: String, item: String, other: SettingsPath) {
        val found = "$item, also at $other"
        problems += Problem(ProblemKind.DUPLICATE, path, field, found, "unique in the whole tree")
    }

    private fun checkReferences(path: SettingsPath, document: SettingsDocument) {
        if (document !is OrganisationSettings) return
        document.services?.filter { it !in services }?.forEach { addDangling(path, "services", it) }
        document.ranks?.filter { !isRank(it) }?.forEach { addDangling(path, "ranks", it) }
    }

    private fun isRank(name: RankName) = SettingsPath.rank(name.value) in documents

    /** Reports organisations that refer to a removed service or rank. */
    private fun checkRemovedTargets(removed: Map<SettingsPath, SettingsDocument>) {
        val missingServices = removed.filterValues { it is ServiceSettings }.keys
            .map { ServiceName(it.name) }.filter { it !in services && it in serviceUses }
        val missingRanks = removed.filterValues { it is RankSettings }.keys
            .map { RankName(it.name) }.filter { !isRank(it) && it in rankUses }
        if (missingServices.isEmpty() && missingRanks.isEmpty()) return
        for ((path, d) in documents) {
            if (d !is OrganisationSettings) continue
            missingServices.filter { d.services?.contains(it) == true }
                .forEach { addDangling(path, "services", it) }
            missingRanks.filter { d.ranks?.contains(it) == true }
                .forEach { addDangling(path, "ranks", it) }
        }
    }

    private fun addDangling(path: SettingsPath, field: String, name: Any) {
        val found = quoted(name.toString())
        val allowed = "a name in the tree's $field"
        problems += Problem(ProblemKind.DANGLING_REFERENCE, path, field, found, allowed)
    }

    private fun checkRanks() {
        val ranks = children[SettingsPath("ranks")].orEmpty().sorted()
            .map { it to documents.getValue(it) as RankSettings }
        val floors = ranks.sumOf { (_, r) -> r.floorShare }
        if (floors > 1 + ROUNDING_TOLERANCE) {
            problems += Problem(
                ProblemKind.FLOORS_EXCEED_CAPACITY,
                SettingsPath("ranks"),
                "floorShare",
                "a sum of $floors",
                "a sum of at most 1"
            )
        }
        for ((priority, samePriority) in ranks.groupBy { (_, r) -> r.priority }) {
            samePriority.drop(1).forEach { (path, _) ->
                addDuplicate(path, "priority", "priority $priority", samePriority.first().first)
            }
        }
    }

    /** Requires a team that can write 'access', so that access can always be changed. */
    private fun checkAccess() {
        val all = children[SettingsPath("access")].orEmpty()
            .map { documents.getValue(it) as AccessSettings }
        val access = SettingsPath("access")
        if (all.isNotEmpty() && all.none { a -> a.prefixes.any { it.covers(access) } }) {
            problems += Problem(
                ProblemKind.NO_ADMINISTRATOR,
                access,
                "prefixes",
                "no prefix that covers 'access'",
                "at least one team that may write 'access'"
            )
        }
    }

    private fun link(path: SettingsPath) {
        var child = path
        for (parent in path.ancestors()) {
            val siblings = children[parent]
            children[parent] = (siblings ?: persistentHashSetOf()).add(child)
            if (siblings != null) return
            child = parent
        }
    }

    private fun unlink(path: SettingsPath) {
        var child = path
        for (parent in path.ancestors()) {
            val rest = children[parent]?.remove(child) ?: return
            if (rest.isNotEmpty()) {
                children[parent] = rest
                return
            }
            children.remove(parent)
            child = parent
        }
    }

    private fun <K> adjustCount(counts: MutableMap<K, Int>, key: K, delta: Int) {
        val n = (counts[key] ?: 0) + delta
        if (n == 0) counts.remove(key) else counts[key] = n
    }

    private companion object {
        /** Allows for rounding errors in a sum of decimal fractions. */
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
