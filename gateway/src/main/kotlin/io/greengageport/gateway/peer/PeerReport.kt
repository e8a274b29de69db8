package io.greengageport.gateway.peer

import io.greengageport.routing.SuspectState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A report of the instance [from] to its peers, sent as a CBOR datagram.
 *
 * [load] lists the requests that [from] has in flight by server, and [requestsByService] those that
 * it has admitted by service.
 *
 * [known] is a sample of the live peers of [from]. The store lists an instance only once it holds
 * some of the duties, so most instances learn of each other through this sample.
 *
 * [renewalAgeMillis] is the age in ms of the store's last answer to [from].
 *
 * [serverListDelta] contains the changes of the store's list of servers, read [readAgeMillis] ago
 * by the instance that reads the list for all. A [configurationVersion] newer than the receiver's
 * makes the receiver read the configuration at once.
 *
 * [centres] summarises data centres whose instances do not report to the receiver directly.
 *
 * [startedAtMillis] identifies the incarnation of [from], and [sequence] increases by one with each
 * report; together they order reports that arrive out of order. [unreachable] lists servers that
 * attempts of [from] found unreachable. [suspects] contains marks of requests that crash engines;
 * they can be merged in any order.
 *
 * [hasServerPath] tells whether [from] reaches backend servers; without a path, its [unreachable]
 * says nothing about them. [acceptsTunnels] tells whether it opens connections to servers for peers
 * that have no path, and [notices] is what servers stated about themselves through such tunnels.
 */
@Serializable
@CborArray
internal class PeerReport(
    val from: String,
    val dataCentre: String,
    val address: String,
    val startedAtMillis: Long,
    val sequence: Long,
    val load: List<ServerLoad>,
    val requestsByService: Map<String, Int>,
    val retries: Map<String, RetryUse>,
    val unreachable: List<String>,
    val suspects: List<SuspectState>,
    val known: List<KnownPeer>,
    val renewalAgeMillis: Long?,
    val readAgeMillis: Long?,
    val configurationVersion: Long,
    @SerialName("news")
    val serverListDelta: ServerListDelta?,
    val centres: List<DataCentreSummary>,
    val hasServerPath: Boolean = true,
    val acceptsTunnels: Boolean = false,
    val notices: List<ServerNotice> = emptyList()
) {
    /**
     * Returns a copy of this report in which [summary] replaces the loads, requests, retries and
     * unreachable servers of this instance, which it includes.
     */
    fun withSummary(summary: DataCentreSummary): PeerReport = withCentres(listOf(summary))

    /**
     * Returns a copy of this report for other data centres between two summaries, which include the
     * loads, requests, retries and unreachable servers of this instance.
     */
    fun withoutLoads(): PeerReport = withCentres(emptyList())

    private fun withCentres(centres: List<DataCentreSummary>) = PeerReport(
        from = from,
        dataCentre = dataCentre,
        address = address,
        startedAtMillis = startedAtMillis,
        sequence = sequence,
        load = emptyList(),
        requestsByService = emptyMap(),
        retries = emptyMap(),
        unreachable = emptyList(),
        suspects = suspects,
        known = known,
        renewalAgeMillis = renewalAgeMillis,
        readAgeMillis = readAgeMillis,
        configurationVersion = configurationVersion,
        serverListDelta = serverListDelta,
        centres = centres,
        hasServerPath = hasServerPath,
        acceptsTunnels = acceptsTunnels,
        notices = notices
    )
}

/** An instance, its data centre and the address at which peers reach it. */
@Serializable
@CborArray
internal class KnownPeer(val id: String, val dataCentre: String, val address: String)

/**
 * What a server stated about itself in a response: that it is leaving, or that it wants no requests
 * for [pauseMillis] from now. [startedAtMillis] identifies its incarnation.
 */
@Serializable
@CborArray
internal class ServerNotice(
    val server: String,
    val startedAtMillis: Long,
    val isLeaving: Boolean,
    val pauseMillis: Long?
)

/** Requests in flight at a server and the memory that they hold, in tokens times layers. */
@Serializable
@CborArray
internal class ServerLoad(val server: String, val requests: Int, val tokenLayers: Long)

/**
 * Retries that an instance made for a service in the last ten seconds, and the retries that its
 * requests earned.
 */
@Serializable
@CborArray
internal class RetryUse(val used: Double, val earned: Double)

/**
 * Sums over the reports of all instances of [dataCentre], as computed [ageMillis] ago by one of
 * them. [tunnelPeers] is a sample of those that accept tunnels.
 */
@Serializable
@CborArray
internal class DataCentreSummary(
    val dataCentre: String,
    val ageMillis: Long,
    val instances: Int,
    val load: List<ServerLoad>,
    val requestsByService: Map<String, Int>,
    val retries: Map<String, RetryUse>,
    val unreachable: List<String>,
    val renewalAgeMillis: Long?,
    val tunnelPeers: List<KnownPeer> = emptyList()
)
