package io.greengageport.limits

/**
 * Max-min fair shares of [pool] by [demands]: no one gets more than its demand while another with
 * less gets less than its own; what is left over is divided equally, as room for growth.
 *
 * The shares add up to at most [pool], apart from rounding of floating-point numbers.
 */
internal fun maxMinShares(pool: Double, demands: List<Double>): List<Double> {
    val shares = DoubleArray(demands.size)
    var left = maxOf(0.0, pool)
    var count = demands.size
    for (i in demands.indices.sortedBy { demands[it] }) {
        shares[i] = minOf(demands[i], left / count)
        left -= shares[i]
        count--
    }
    val extra = maxOf(0.0, left) / maxOf(1, demands.size)
    return shares.map { it + extra }
}
