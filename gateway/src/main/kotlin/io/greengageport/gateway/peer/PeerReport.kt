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
 * [readAgeMillis] is the age of this instance's last read of the store's list of servers, if it has
 * the duty to read it for all, and [servers] are the changes that it found. A newer
 * [configurationVersion] than the receiver's own makes it read the configuration at once.
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
    val address: String,
    val startedAtMillis: Long,
    val sequence: Long,
    val load: List<ServerLoad>,
    val requestsByService: Map<String, Int>,
    val unreachable: List<String>,
    val suspects: List<SuspectState>,
    val known: List<KnownPeer>,
    val renewalAgeMillis: Long?,
    val readAgeMillis: Long?,
    val configurationVersion: Long,
    val servers: List<ServerChange>
)

/** An instance and the address at which its peers reach it. */
@Serializable
@CborArray
internal class KnownPeer(val id: String, val address: String)

/** Requests in flight at a server and the memory they hold, in tokens times layers. */
@Serializable
@CborArray
internal class ServerLoad(val server: String, val requests: Int, val tokenLayers: Long)
