package io.greengageport.gateway.model

import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName

/**
 * The registration of a backend server.
 *
 * [slots] is the number of requests that it can run at the same time.
 * [startedAtMillis] (wall clock of the server) distinguishes restarts of a server with the same id.
 * [accelerator] is its accelerator model. [layers] and [accelerator] are null for plain services
 * and for engines that hold no layers yet. [sequence] increases with each write of the entry in one
 * start of the server; it is null in entries that do not state it.
 */
public data class BackendServer(
    val id: RunnerId,
    val service: ServiceName,
    val address: HostPort,
    val dataCentre: DataCentre,
    val slots: Int,
    val isLeaving: Boolean,
    val startedAtMillis: Long,
    val accelerator: String? = null,
    val layers: LayerRange? = null,
    val modelVersion: Long? = null,
    val sequence: Long? = null
) {
    /** Whether [other] differs at most in its [sequence]. */
    public fun hasSameContent(other: BackendServer): Boolean =
        this == other.copy(sequence = sequence)

    /**
     * Whether this entry was written before [other], or null if that is unknown: entries of one
     * start are ordered by their sequence, provided that both state it and their start.
     */
    public fun isOlderThan(other: BackendServer): Boolean? = when {
        startedAtMillis != other.startedAtMillis -> startedAtMillis < other.startedAtMillis
        startedAtMillis == 0L || sequence == null || other.sequence == null -> null
        else -> sequence < other.sequence
    }
}
