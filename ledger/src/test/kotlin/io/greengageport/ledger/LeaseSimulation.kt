package io.greengageport.ledger

import io.greengageport.common.InstanceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.async
import kotlinx.coroutines.delay

/**
 * Three instances that want one lease and order their own name as the desired state of an engine,
 * with kills, pauses, outages and lost or late appends drawn from [seed].
 */
internal class LeaseSimulation(private val seed: Long, private val engineChecksTokens: Boolean) {
    private class Holder(val lane: Lane, val id: InstanceId, val keeper: LeaseKeeper) {
        var lease: Lease? = null
    }

    private val random = Random(seed)
    private val time = VirtualTime(random)
    private val log = SimulatedLog(time, random)
    private val settings = LeaseSettings(forgetAfter = 1.minutes)
    private val holders = List(3) { start(InstanceId("entry-$it")) }.toMutableList()
    private var highestToken = 0L

    /** State of the engine, and the tokens of the orders it accepted. */
    var state = ""
    val accepted = mutableListOf<Long>()
    val violations = mutableListOf<String>()
    var acquisitions = 0

    /** The lease that is valid now. */
    val holder: String get() = valid().joinToString { it.id.value }

    private fun start(id: InstanceId): Holder {
        val lane = Lane(time)
        val h = Holder(lane, id, LeaseKeeper(log, id, time, Random(random.nextInt()), settings))
        lane.scope.async { h.keeper.run() }
        lane.scope.async { while (true) hold(h) }
        return h
    }

    private suspend fun hold(h: Holder) {
        h.keeper.withLease("placement", engineChecksTokens) { lease ->
            acquisitions++
            h.lease = lease
            while (lease.isValid()) {
                if (random.nextInt(20) == 0) h.lane.pause(random.nextLong(30_000))
                val token = lease.token
                if (lease.isValid()) order(h, token)
                delay(random.nextLong(500, 3_000))
                // Frees the lease now and then, so that releases are part of the interleavings.
                if (random.nextInt(40) == 0) break
            }
        }
    }

    private fun order(h: Holder, token: Long) {
        val delay = random.nextLong(settings.orderTimeout.inWholeMilliseconds)
        time.after(delay) {
            if (!engineChecksTokens || token >= highestToken) {
                highestToken = maxOf(highestToken, token)
                accepted += token
                state = h.id.value
            }
        }
    }

    private fun valid() = holders.filter { it.lease?.isValid() == true }

    fun run(): LeaseSimulation {
        time.advance(20_000)
        log.faults = random.nextDouble(0.3)
        repeat(FAULTS) { time.after(random.nextLong(SPAN)) { fault() } }
        repeat((SPAN / STEP).toInt()) {
            time.advance(STEP)
            if (valid().size > 1) violations += "seed $seed: valid at $holder"
        }
        log.faults = 0.0
        log.store.down = false
        time.advance(120_000)
        // Waits for a holder that has had the lease for a while, without pauses near the end.
        repeat(600) { if (!settled()) time.advance(1_000) }
        return this
    }

    private fun settled() = valid().size == 1 && state == holder

    private fun fault() {
        val i = random.nextInt(holders.size)
        when (random.nextInt(4)) {
            0 -> {
                holders[i].lane.kill()
                holders[i] = start(holders[i].id)
            }

            1 -> holders[i].lane.pause(random.nextLong(40_000))

            2 -> {
                log.store.down = true
                time.after(random.nextLong(20_000)) { log.store.down = false }
            }

            else -> log.store.expire(time.wallMillis() - random.nextLong(60_000))
        }
    }

    private companion object {
        const val FAULTS = 12
        const val SPAN = 300_000L
        const val STEP = 100L
    }
}
