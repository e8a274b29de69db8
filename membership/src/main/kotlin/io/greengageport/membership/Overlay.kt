package io.greengageport.membership

import io.greengageport.common.InstanceId

/**
 * Chooses the neighbours with which an instance keeps connections open.
 *
 * The neighbours are the predecessor and the successor in three rings, each ordered by a different
 * hash of the ids. The union of three random rings is connected, has a diameter near log5(N), and
 * neighbours choose each other without any agreement when their views are equal.
 */
internal object Overlay {
    private const val RINGS = 3

    fun neighbours(self: InstanceId, live: Collection<InstanceId>): Set<InstanceId> =
        (0 until RINGS).flatMapTo(LinkedHashSet()) { ring -> ends(self, live, ring) } - self

    private fun ends(self: InstanceId, live: Collection<InstanceId>, ring: Int): List<InstanceId> {
        val own = position(self, ring)
        val others = live.filter { it != self }.map { position(it, ring) to it }
        if (others.isEmpty()) return emptyList()
        val order = compareBy<Pair<Long, InstanceId>> { it.first }.thenBy { it.second }
        val after = others.filter { order.compare(it, own to self) > 0 }
        val before = others.filter { order.compare(it, own to self) < 0 }
        val next = after.minWithOrNull(order) ?: others.minWith(order)
        val previous = before.maxWithOrNull(order) ?: others.maxWith(order)
        return listOf(next.second, previous.second)
    }

    private fun position(id: InstanceId, ring: Int): Long = Hash64.of(id.value).mix(ring + 1L).value
}
