package io.greengageport.gateway.placement

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId
import io.greengageport.routing.AssignmentReason
import io.greengageport.routing.LayerAssignment

/**
 * Holds back orders that divide a copy anew.
 *
 * While a copy is divided anew its engines wait for what passes through them and load weights, and
 * for some five seconds it serves nobody. So this waits until it has been the only way for a while,
 * as engines of a rack are lost one by one.
 *
 * While half of the data centres or more have whole copies, these serve, and the wait is longer:
 * an engine that crashed is back after about three seconds and takes its place with a load of one
 * second. Copies of two data centres are then divided one after the other, as broken copies may
 * complete each other meanwhile. With fewer whole copies callers are refused in the meantime, and
 * all copies are divided as soon as their losses have settled.
 */
internal class DivisionPacer(private val clock: Clock) {
    private var neededSince: Long? = null
    private var dividing: DataCentre? = null

    /**
     * The orders of [plan] that may go out now. [centreOf] is where an engine is; [isOpen] tells
     * whether engines of a data centre have still to carry out orders; [isServed] whether half of
     * the data centres have whole copies.
     */
    fun paced(
        plan: List<LayerAssignment>,
        isServed: Boolean,
        centreOf: (RunnerId) -> DataCentre?,
        isOpen: (DataCentre) -> Boolean
    ): List<LayerAssignment> {
        val (divisions, others) = plan.partition { it.reason == AssignmentReason.REDIVIDE }
        if (divisions.isEmpty()) {
            neededSince = null
            return plan
        }
        val now = clock.monotonicMillis()
        val since = neededSince ?: now.also { neededSince = it }
        if (now - since < if (isServed) PATIENT_MILLIS else SETTLE_MILLIS) return others
        if (!isServed) return plan
        val before = dividing
        if (before != null && isOpen(before)) return others
        val next =
            divisions.mapNotNull { centreOf(it.id) }.minByOrNull { it.value } ?: return others
        dividing = next
        return others + divisions.filter { centreOf(it.id) == next }
    }

    private companion object {
        /** The losses of a rack are found within about a second. */
        const val SETTLE_MILLIS = 1_200L

        /** A crashed engine is listed as empty again after some three seconds. */
        const val PATIENT_MILLIS = 3_000L
    }
}
