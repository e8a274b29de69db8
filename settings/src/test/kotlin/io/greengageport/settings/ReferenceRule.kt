package io.greengageport.settings

import com.github.michaelbull.result.get

/** A simple reference implementation of the publish rule without indexes or eviction. */
internal class ReferenceRule {
    var documents: Map<SettingsPath, SettingsDocument> = emptyMap()
        private set
    val accepted = mutableListOf<Change>()
    private val offsets = mutableListOf<Long>()
    private val seen = mutableSetOf<ChangeId>()

    val version: Long get() = offsets.lastOrNull() ?: 0

    /** Applies a record; returns whether it is an accepted change. */
    fun apply(offset: Long, payload: ByteArray): Boolean {
        val r = RecordCodec.decode(payload).get()
        if (r is Withdraw) seen += r.id
        if (r !is Change || !seen.add(r.id)) return false
        val next = documents.filterKeys { !r.path.covers(it) } + r.value.orEmpty()
        if (!isGranted(r) || version(r.path) != r.baseVersion || !isValid(next)) return false
        documents = next
        accepted += r
        offsets += offset
        return true
    }

    private fun version(path: SettingsPath): Long =
        accepted.indexOfLast { it.path.covers(path) || path.covers(it.path) }
            .let { if (it < 0) 0 else offsets[it] }

    private fun isGranted(c: Change): Boolean {
        val access = documents.values.filterIsInstance<AccessSettings>()
        return access.isEmpty() ||
            access.any { a ->
                c.author.keyHash in a.keyHashes &&
                    a.prefixes.any { it.covers(c.path) }
            }
    }

    private fun isValid(tree: Map<SettingsPath, SettingsDocument>): Boolean {
        val ranks = tree.values.filterIsInstance<RankSettings>()
        val organisations = tree.values.filterIsInstance<OrganisationSettings>()
        val access = tree.values.filterIsInstance<AccessSettings>()
        val names = tree.keys.filter { it.kind != SettingsKind.ACCESS }
            .map { it.kind to it.name }
        val rankNames = tree.keys.filter { it.kind == SettingsKind.RANKS }.map { it.name }
        val services = tree.keys.filter { it.kind == SettingsKind.SERVICES }.map { it.name }
        return ranks.all { it.floorShare in 0.0..1.0 } &&
            ranks.sumOf { it.floorShare } <= 1.000001 &&
            isDistinct(ranks.map { it.priority }) &&
            isDistinct(names) &&
            isDistinct(organisations.flatMap { it.keyHashes }) &&
            organisations.all { o ->
                o.services.orEmpty().all { it.value in services } &&
                    o.ranks.orEmpty().all { it.value in rankNames }
            } &&
            (access.isEmpty() || access.flatMap { it.prefixes }.any { it.value in ADMIN })
    }

    private fun isDistinct(values: List<Any>) = values.toSet().size == values.size

    private companion object {
        val ADMIN = setOf("", "access")
    }
}
