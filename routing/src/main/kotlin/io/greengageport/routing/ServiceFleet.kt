package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.LayerRange
import io.greengageport.common.ServiceName

/**
 * An immutable snapshot of the runners of one service, indexed for chain selection.
 *
 * The distinct ends of the runners' ranges split the layers into segments, so that each runner
 * holds a segment either completely or not at all. [holders] lists the positions in [runners] per
 * segment.
 */
public class ServiceFleet internal constructor(
    public val service: ServiceName,
    public val layers: Int,
    public val runners: List<Runner>
) {
    /** Whether the service is a plain service, which has no layers. */
    public val isPlain: Boolean get() = layers == 0

    internal val dataCentres: List<DataCentre> = runners.map { it.dataCentre }.distinct()

    /** Position in [dataCentres] of the data centre of each runner. */
    internal val dataCentreOf: IntArray =
        IntArray(runners.size) { dataCentres.indexOf(runners[it].dataCentre) }

    /** The ends of the segments in ascending order, from 0 to [layers]; empty if [isPlain]. */
    internal val boundaries: IntArray = boundaries()
    internal val holders: Array<IntArray> = Array(maxOf(0, boundaries.size - 1)) { segment ->
        val range = LayerRange(boundaries[segment], boundaries[segment + 1])
        runners.indices.filter { runners[it].layers?.contains(range) == true }.toIntArray()
    }

    /** Positions of interchangeable runners, which have the same range and data centre. */
    internal val groups: List<IntArray> = runners.indices
        .groupBy { runners[it].layers to runners[it].dataCentre }
        .values.map { it.toIntArray() }

    private fun boundaries(): IntArray {
        if (layers == 0) return IntArray(0)
        val ends = sortedSetOf(0, layers)
        for (r in runners) r.layers?.let { ends += listOf(it.from, it.until) }
        return ends.filter { it <= layers }.toIntArray()
    }

    /**
     * The runners grouped by version of the model. A chain uses one version only, because the
     * activations of one version are meaningless to another.
     */
    internal val versions: List<ServiceFleet> by lazy {
        val runnersByVersion = if (isPlain) emptyMap() else runners.groupBy { it.version }
        if (runnersByVersion.size <=
            1
        ) {
            listOf(this)
        } else {
            runnersByVersion.values.map { ServiceFleet(service, layers, it) }
        }
    }

    /** The common version of all runners, if this is one of [versions]. */
    internal val version: String? get() = runners.firstOrNull()?.version

    internal fun segment(index: Int) = LayerRange(boundaries[index], boundaries[index + 1])
}
