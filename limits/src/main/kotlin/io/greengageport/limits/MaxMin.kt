package io.greengageport.limits

/**
 * Computes the max-min fair shares of [capacity] for [demands], in the same order.
 *
 * A share exceeds its demand only if all demands are met; the surplus is then divided equally, so
 * that demands can grow. The shares add up to at most [capacity], except for rounding errors.
 */
internal fun maxMinShares(capacity: Double, demands: List<Double>): List<Double> {
    val shares = DoubleArray(demands.size)
    var remaining = maxOf(0.0, capacity)
    var unserved = demands.size
    for (i in demands.indices.sortedBy { demands[it] }) {
        shares[i] = minOf(demands[i], remaining / unserved)
        remaining -= shares[i]
        unserved--
    }
    val surplusPerDemand = maxOf(0.0, remaining) / maxOf(1, demands.size)
    return shares.map { it + surplusPerDemand }
}
