package io.greengageport.gateway.placement

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import io.greengageport.routing.AssignmentReason
import io.greengageport.routing.LayerAssignment

/**
 * Delays orders that redivide a copy of a model among engines.
 *
 * While a copy is redivided, its engines wait for requests in progress and load weights, so the
 * copy serves no requests for about five seconds. Redivision therefore starts only after it has
 * been the only option for a while, since the engines of a rack are lost one by one.
 *
 * While at least half of the data centres have complete copies, these serve, and the delay is
 * longer: a crashed engine returns after about three seconds and resumes its place with a load of
 * one second. The copies of different data centres are then redivided one after the other, because
 * incomplete copies may complement each other meanwhile. With fewer complete copies, requests are
 * refused in the meantime, so all copies are redivided as soon as no further engines are being
 * lost.
 */
internal class RedivisionPacer(private val clock: Clock) {
    /** Since when every plan has contained redivisions; null if the last one did not. */
    private var neededSinceMillis: Long? = null

    /** The data centre whose copies were redivided last. */
    private var currentDataCentre: DataCentre? = null

    /**
     * Returns the orders of [plan] that can be sent now.
     *
     * [dataCentreOf] returns the data centre of an engine, [hasPendingOrders] whether engines of a
     * data centre have not yet carried out their orders, and [hasEnoughCopies] tells whether at
     * least half of the data centres have complete copies.
     */
    fun admit(
        plan: List<LayerAssignment>,
        hasEnoughCopies: Boolean,
        dataCentreOf: (RunnerId) -> DataCentre?,
        hasPendingOrders: (DataCentre) -> Boolean
    ): List<LayerAssignment> {
        val (redivisions, others) = plan.partition { it.reason == AssignmentReason.REDIVIDE }
        if (redivisions.isEmpty()) {
            neededSinceMillis = null
            return plan
        }
        val now = clock.monotonicMillis()
        val since = neededSinceMillis ?: now.also { neededSinceMillis = it }
        if (now - since < if (hasEnoughCopies) RECOVERY_MILLIS else SETTLE_MILLIS) return others
        if (!hasEnoughCopies) return plan
        val previous = currentDataCentre
        if (previous != null && hasPendingOrders(previous)) return others
        val next =
            redivisions.mapNotNull { dataCentreOf(it.id) }.minByOrNull { it.value } ?: return others
        currentDataCentre = next
        return others + redivisions.filter { dataCentreOf(it.id) == next }
    }

    /** Forgets the plans so far: they do not show that redivision is still needed. */
    fun reset() {
        neededSinceMillis = null
        currentDataCentre = null
    }

    private companion object {
        /** The losses of a rack are detected within about a second. */
        const val SETTLE_MILLIS = 1_200L

        /** A crashed engine is listed as empty after about three seconds. */
        const val RECOVERY_MILLIS = 3_000L
    }
}
