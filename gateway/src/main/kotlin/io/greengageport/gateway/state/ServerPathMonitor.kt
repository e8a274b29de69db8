package io.greengageport.gateway.state

import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.RunnerId
import io.greengageport.gateway.http.HttpConnector
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Detects by direct control connections that this instance has lost its network path to all backend
 * servers, and that the path is back.
 *
 * A control connection is closed once it is open and carries no request. Each failed connection to
 * a server causes a check; all failures that precede a check share it. One accepted connection ends
 * a check: the path exists. A check concludes that this instance is cut off if servers of all
 * services and data centres, as far as a sample covers them, accept no connection.
 *
 * With few servers their common crash is as likely as a lost path. The conclusion then needs a peer
 * that has a path ([hasPeerWithPath]).
 */
internal class ServerPathMonitor(
    private val directory: BackendDirectory,
    private val connector: HttpConnector,
    private val isPaused: (RunnerId) -> Boolean,
    private val hasPeerWithPath: () -> Boolean,
    private val log: DecisionLog,
    private val clock: Clock
) : ServerPath {
    /** A check; [result] is null if its first caller was cancelled. */
    private class Check(val number: Int) {
        val result = CompletableDeferred<Boolean?>()
    }

    /** A failure that preceded the check after [checkNumber]. */
    private class Failure(val atMillis: Long, val checkNumber: Int)

    private class Acceptance(val firstMillis: Long, val lastMillis: Long)

    override var isCutOff: Boolean = false
        private set

    /**
     * Time on the monotonic clock, in ms, since which observations of servers may rest on the lost
     * path: [WITHDRAWN_MILLIS] before the conclusion. A server may accept a control connection
     * while others are already lost, so the last accepted one does not show when the loss began.
     */
    var cutOffSinceMillis: Long = 0
        private set

    /** Called after each change of [isCutOff], with its new value. */
    var onChanged: (isCutOff: Boolean) -> Unit = {}

    private var runningCheck: Check? = null
    private var startedChecks = 0

    /** Servers to which connections have failed since the last accepted control connection. */
    private val failures = HashMap<RunnerId, Failure>()
    private var lastAccepted: RunnerId? = null
    private var restoredAtMillis = Long.MIN_VALUE

    /** While cut off, the number of control connections to each server. */
    private val tries = HashMap<RunnerId, Int>()

    /** While cut off, servers that accepted their last control connection. */
    private val acceptances = LinkedHashMap<RunnerId, Acceptance>()

    override fun wasCutOffSince(sinceMillis: Long): Boolean =
        isCutOff || restoredAtMillis >= sinceMillis

    override suspend fun isFailureOfServer(server: RunnerId): Boolean {
        val precedingChecks = startedChecks
        while (!isCutOff) {
            failures[server] = Failure(clock.monotonicMillis(), precedingChecks)
            val running = runningCheck ?: return startCheck(server)
            val result = running.result.await()
            // An earlier check may have been answered before the path was lost.
            if (result != null && running.number > precedingChecks) return result
        }
        return false
    }

    private suspend fun startCheck(server: RunnerId): Boolean {
        val check = Check(++startedChecks)
        runningCheck = check
        var result: Boolean? = null
        try {
            return check(server, check.number).also { result = it }
        } finally {
            runningCheck = null
            check.result.complete(result)
        }
    }

    /** Returns whether the failure of [server] is its own; false also if that remains unknown. */
    private suspend fun check(server: RunnerId, number: Int): Boolean {
        repeat(MAX_REPETITIONS) {
            val startedAtMillis = clock.monotonicMillis()
            failures.values.removeIf { startedAtMillis - it.atMillis > FAILURE_VALID_MILLIS }
            val sample = sampleExcept(server)
            if (sample.isEmpty()) return true
            val groups = if (failures.size < MANY_FAILURES) {
                listOf(sample.take(FIRST_SERVERS), sample.drop(FIRST_SERVERS))
            } else {
                listOf(sample)
            }
            val accepted = groups.firstNotNullOfOrNull { findAccepting(it) }
            if (accepted != null) {
                onAccepted(accepted.id, number)
                return true
            }
            val lateMillis = clock.monotonicMillis() - startedAtMillis -
                groups.count { it.isNotEmpty() } * CONNECT_TIMEOUT_MILLIS
            if (lateMillis <= LATE_MILLIS) {
                val failed = failures.keys + sample.map { it.id }
                if (failed.size < MIN_FAILED_SERVERS && !hasPeerWithPath()) return true
                concludeCutOff(failed)
                return false
            }
            log.record("path", "check_repeated", "late_ms" to lateMillis)
        }
        return false
    }

    private fun onAccepted(server: RunnerId, checkNumber: Int) {
        lastAccepted = server
        failures.values.removeIf { it.checkNumber < checkNumber }
    }

    private fun concludeCutOff(failed: Set<RunnerId>) {
        val now = clock.monotonicMillis()
        isCutOff = true
        cutOffSinceMillis = now - WITHDRAWN_MILLIS
        tries.clear()
        acceptances.clear()
        log.record(
            "path",
            "lost",
            "failed" to failed.size,
            "servers" to failed.take(MAX_SAMPLE),
            "peer_has_path" to hasPeerWithPath(),
            "since_ms" to now - cutOffSinceMillis
        )
        onChanged(true)
    }

    /** Checks, until cancelled, whether the path is back while it is lost. */
    suspend fun run() {
        while (true) {
            val startedAtMillis = clock.monotonicMillis()
            if (isCutOff) checkReturn()
            val tookMillis = clock.monotonicMillis() - startedAtMillis
            delay(maxOf(RETURN_CHECK_INTERVAL_MILLIS - tookMillis, MIN_PAUSE_MILLIS))
        }
    }

    private suspend fun checkReturn() {
        val usable = usableServers()
        val accepting = usable.filter { it.id in acceptances }.take(1)
        val others = spread(usable - accepting.toSet(), RETURN_SERVERS - accepting.size) {
            tries[it.id] ?: 0
        }
        val results = coroutineScope {
            (accepting + others).map { s -> async { s.id to accepts(s) } }.awaitAll()
        }
        val now = clock.monotonicMillis()
        for ((id, isAccepted) in results) {
            tries.merge(id, 1, Int::plus)
            val first = acceptances[id]?.firstMillis ?: now
            if (isAccepted) acceptances[id] = Acceptance(first, now) else acceptances.remove(id)
        }
        acceptances.values.removeIf { now - it.lastMillis > RETURN_MILLIS }
        // If all other servers are lost, one that goes on accepting connections is enough.
        val isSteady = acceptances.values.any { it.lastMillis - it.firstMillis >= RETURN_MILLIS }
        val neededServers = minOf(RETURN_ACCEPTANCES, usable.size)
        if (isSteady || acceptances.size >= maxOf(1, neededServers)) restore(now)
    }

    private fun restore(now: Long) {
        isCutOff = false
        restoredAtMillis = now
        lastAccepted = acceptances.keys.last()
        failures.clear()
        log.record(
            "path",
            "restored",
            "servers" to acceptances.keys,
            "lost_ms" to now - cutOffSinceMillis
        )
        onChanged(false)
    }

    private fun usableServers() = directory.all.filter { !it.isLeaving && !isPaused(it.id) }

    /**
     * Selects the servers for a check after a failure of [server]: first those without a recent
     * failure, spread over services and data centres, and as the third one the last that accepted a
     * connection, which most likely still does.
     */
    private fun sampleExcept(server: RunnerId): List<BackendServer> {
        val centre = directory.find(server)?.dataCentre
        val usable = usableServers().filter { it.id != server }
        val (failed, others) = usable.partition { it.id in failures }
        val sample = spread(others, MAX_SAMPLE) { if (it.dataCentre == centre) 1 else 0 }
        val last = others.filter { it.id == lastAccepted }
        val ordered = sample.take(FIRST_SERVERS) + last + sample.drop(FIRST_SERVERS) +
            spread(failed, MAX_SAMPLE) { 0 }
        return ordered.distinct().take(MAX_SAMPLE)
    }

    /**
     * Selects up to [count] of [servers], spread over data centres, their services, and services.
     * Those that are equal in this come by [rank], and at random if that is equal too.
     */
    private fun spread(
        servers: List<BackendServer>,
        count: Int,
        rank: (BackendServer) -> Int
    ): List<BackendServer> {
        val left = servers.shuffled().sortedBy(rank).groupBy { it.dataCentre to it.service }
            .values.flatMapTo(ArrayList()) { it.take(count) }
        val selected = ArrayList<BackendServer>()
        while (selected.size < count && left.isNotEmpty()) {
            val next = left.minBy { s ->
                val inCentre = selected.count { it.dataCentre == s.dataCentre }
                val inService = selected.count { it.service == s.service }
                val inBoth =
                    selected.count { it.dataCentre == s.dataCentre && it.service == s.service }
                (inCentre * MAX_SAMPLE + inBoth) * MAX_SAMPLE + inService
            }
            left -= next
            selected += next
        }
        return selected
    }

    /** Returns the first of [servers] that accepts a connection, or null if none does. */
    private suspend fun findAccepting(servers: List<BackendServer>): BackendServer? =
        coroutineScope {
            val results = Channel<BackendServer?>(Channel.UNLIMITED)
            for (s in servers) launch { results.send(s.takeIf { accepts(it) }) }
            var accepting: BackendServer? = null
            var pending = servers.size
            while (accepting == null && pending-- > 0) accepting = results.receive()
            coroutineContext.cancelChildren()
            accepting
        }

    private suspend fun accepts(server: BackendServer): Boolean =
        connector.connect(server.address, CONNECT_TIMEOUT_MILLIS).fold({
            it.close()
            true
        }, { false })

    private companion object {
        /** Connecting takes a few ms, and about ten under load. */
        const val CONNECT_TIMEOUT_MILLIS = 150L

        /** Servers of a check that are tried before the rest of its sample. */
        const val FIRST_SERVERS = 2

        /** Enough for three data centres with two services and some lost servers each. */
        const val MAX_SAMPLE = 8

        /** Failed servers from which on a lost path is likely, and a check is to end soon. */
        const val MANY_FAILURES = 2

        /** Fewer servers can crash together, such as those on one machine. */
        const val MIN_FAILED_SERVERS = 4

        /** Time for which a failure counts if no control connection has succeeded since. */
        const val FAILURE_VALID_MILLIS = 5_000L

        /** Delay of timers that shows that the thread or the process was suspended. */
        const val LATE_MILLIS = 100L

        /** Checks after which a machine that keeps suspending the thread leaves the cause open. */
        const val MAX_REPETITIONS = 5

        /** Longer than timeouts of connections and checks take to show a lost path. */
        const val WITHDRAWN_MILLIS = 3_000L

        const val RETURN_CHECK_INTERVAL_MILLIS = 250L
        const val MIN_PAUSE_MILLIS = 50L

        /** Servers to which a control connection is opened in each interval. */
        const val RETURN_SERVERS = 3

        /** Servers that have to accept within [RETURN_MILLIS]; one may be reached by chance. */
        const val RETURN_ACCEPTANCES = 2
        const val RETURN_MILLIS = 1_000L
    }
}
