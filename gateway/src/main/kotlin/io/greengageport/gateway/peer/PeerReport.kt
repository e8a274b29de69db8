package io.greengageport.gateway.peer

import io.greengageport.routing.SuspectState
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * What an instance tells its peers: a datagram in CBOR.
 *
 * [known] is a sample of the live peers of [from]: the store lists an instance only once it holds a
 * part of the duties, so most instances learn of each other this way.
 *
 * [renewalAgeMillis] is the age of the last answer of the store to [from].
 *
 * [news] tells what changed in the store's list of servers, as read [readAgeMillis] ago by the
 * instance that reads it for all. A newer [configurationVersion] than the receiver's own makes it
 * read the configuration at once.
 *
 * [centres] sums up data centres whose instances the receiver does not hear themselves.
 *
 * [startedAtMillis] is the incarnation of [from], and [sequence] grows by one with each report, so
 * that reports that overtake each other are told apart. [unreachable] lists servers of which this
 * instance's own attempts show that they are gone. [suspects] holds marks of requests that crash
 * engines, which merge in any order.
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
    val news: ServerNews?,
    val centres: List<CentreSummary>
) {
    /** This report with [summary], which contains what it tells of loads, in their place. */
    fun summedUp(summary: CentreSummary): PeerReport = PeerReport(
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
        news = news,
        centres = listOf(summary)
    )
}

/** An instance, its data centre and the address at which its peers reach it. */
@Serializable
@CborArray
internal class KnownPeer(val id: String, val dataCentre: String, val address: String)

/** Requests in flight at a server and the memory they hold, in tokens times layers. */
@Serializable
@CborArray
internal class ServerLoad(val server: String, val requests: Int, val tokenLayers: Long)

/** Retries that an instance made for a service in the last ten seconds, and those it earned. */
@Serializable
@CborArray
internal class RetryUse(val used: Double, val earned: Double)

/** What the instances of [dataCentre] told together, as one summed up [ageMillis] ago. */
@Serializable
@CborArray
internal class CentreSummary(
    val dataCentre: String,
    val ageMillis: Long,
    val instances: Int,
    val load: List<ServerLoad>,
    val requestsByService: Map<String, Int>,
    val retries: Map<String, RetryUse>,
    val unreachable: List<String>,
    val renewalAgeMillis: Long?
)
