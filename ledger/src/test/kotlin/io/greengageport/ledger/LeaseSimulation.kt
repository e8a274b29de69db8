package io.greengageport.ledger

import io.greengageport.common.InstanceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.async
import kotlinx.coroutines.delay

/**
 * Simulates three instances that contend for one lease. The holder orders its own name as the
 * desired state of an engine. Kills, pauses, outages, and lost or late appends are drawn from
 * [seed].
 */
internal class LeaseSimulation(private val seed: Long, private val engineChecksTokens: Boolean) {
    private class Contender(
        val process: SimulatedProcess,
        val id: InstanceId,
        val leases: LeaseManager
    ) {
        var lease: Lease? = null
    }

    private val random = Random(seed)
    private val time = VirtualTime(random)
    private val log = SimulatedLog(time, random)
    private val settings = LeaseSettings(forgetAfter = 1.minutes)
    private val contenders = List(3) { start(InstanceId("entry-$it")) }.toMutableList()
    private var highestToken = 0L

    /** Name of the instance whose order the engine executed last. */
    var engineState = ""

    /** Tokens of the orders that the engine accepted, in this order. */
    val acceptedTokens = mutableListOf<Long>()
    val violations = mutableListOf<String>()
    var acquisitions = 0

    /** Names of the instances whose lease is valid now. */
    val currentHolder: String get() = validContenders().joinToString { it.id.value }

    private fun start(id: InstanceId): Contender {
        val process = SimulatedProcess(time)
        val contender = Contender(
            process,
            id,
            LeaseManager(log, id, time, Random(random.nextInt()), settings)
        )
        process.scope.async { contender.leases.run() }
        process.scope.async { while (true) contend(contender) }
        return contender
    }

    private suspend fun contend(contender: Contender) {
        contender.leases.withLease("placement", engineChecksTokens) { lease ->
            acquisitions++
            contender.lease = lease
            while (lease.isValid()) {
                if (random.nextInt(20) == 0) contender.process.pause(random.nextLong(30_000))
                val token = lease.token
                if (lease.isValid()) order(contender, token)
                delay(random.nextLong(500, 3_000))
                // Releases the lease occasionally, so that the interleavings include releases.
                if (random.nextInt(40) == 0) break
            }
        }
    }

    private fun order(contender: Contender, token: Long) {
        val delayMillis = random.nextLong(settings.orderTimeout.inWholeMilliseconds)
        time.after(delayMillis) {
            if (!engineChecksTokens || token >= highestToken) {
                highestToken = maxOf(highestToken, token)
                acceptedTokens += token
                engineState = contender.id.value
            }
        }
    }

    private fun validContenders() = contenders.filter { it.lease?.isValid() == true }

    fun run(): LeaseSimulation {
        time.advance(20_000)
        log.faultRate = random.nextDouble(0.3)
        repeat(FAULTS) { time.after(random.nextLong(SPAN_MILLIS)) { injectFault() } }
        repeat((SPAN_MILLIS / STEP_MILLIS).toInt()) {
            time.advance(STEP_MILLIS)
            if (validContenders().size > 1) violations += "seed $seed: two holders: $currentHolder"
        }
        log.faultRate = 0.0
        log.store.isDown = false
        time.advance(120_000)
        // Waits until the only holder has executed an order; pauses may delay this.
        repeat(600) { if (!isStable()) time.advance(1_000) }
        return this
    }

    private fun isStable() = validContenders().size == 1 && engineState == currentHolder

    private fun injectFault() {
        val i = random.nextInt(contenders.size)
        when (random.nextInt(4)) {
            0 -> {
                contenders[i].process.kill()
                contenders[i] = start(contenders[i].id)
            }

            1 -> contenders[i].process.pause(random.nextLong(40_000))

            2 -> {
                log.store.isDown = true
                time.after(random.nextLong(20_000)) { log.store.isDown = false }
            }

            else -> log.store.expire(time.wallMillis() - random.nextLong(60_000))
        }
    }

    private companion object {
        const val FAULTS = 12
        const val SPAN_MILLIS = 300_000L
        const val STEP_MILLIS = 100L
    }
}
