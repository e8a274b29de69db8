package io.greengageport.membership

import io.greengageport.common.InstanceId

/**
 * Selects the neighbours to which an instance keeps connections open.
 *
 * The neighbours are the predecessor and the successor in each of three rings, ordered by different
 * hashes of the ids. The union of three random rings is connected and has a diameter near log5(N).
 * Instances with equal views select each other without coordination.
 */
internal object Overlay {
    private const val RING_COUNT = 3

    /** Returns at most six members of [live], never [self]. */
    fun neighbours(self: InstanceId, live: Collection<InstanceId>): Set<InstanceId> =
        (0 until RING_COUNT)
            .flatMapTo(LinkedHashSet()) { ring -> adjacent(self, live, ring) } - self

    /** Returns the successor and the predecessor of [self] in [ring]. */
    private fun adjacent(
        self: InstanceId,
        live: Collection<InstanceId>,
        ring: Int
    ): List<InstanceId> {
        val ownPosition = position(self, ring)
        val others = live.filter { it != self }.map { position(it, ring) to it }
        if (others.isEmpty()) return emptyList()
        val order = compareBy<Pair<Long, InstanceId>> { it.first }.thenBy { it.second }
        val after = others.filter { order.compare(it, ownPosition to self) > 0 }
        val before = others.filter { order.compare(it, ownPosition to self) < 0 }
        val next = after.minWithOrNull(order) ?: others.minWith(order)
        val previous = before.maxWithOrNull(order) ?: others.maxWith(order)
        return listOf(next.second, previous.second)
    }

    private fun position(id: InstanceId, ring: Int): Long = Hash64.of(id.value).mix(ring + 1L).value
}
