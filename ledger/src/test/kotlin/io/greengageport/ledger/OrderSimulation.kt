package io.greengageport.ledger

import com.github.michaelbull.result.mapBoth
import io.greengageport.common.InstanceId
import io.greengageport.common.OrganisationName
import io.greengageport.common.ServiceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Result of one attempt as reported to the caller. */
internal enum class AttemptResult { RAN, REPLAYED, NOT_RUN, UNKNOWN }

/** Executes one attempt on an instance. */
internal typealias AttemptExecutor =
    suspend (SimulatedInstance, OrderCall, send: suspend () -> CallOutcome?) -> AttemptResult

/** Executes attempts with [OrderLedger], like the request path. */
internal fun withClaims(pause: suspend () -> Unit): AttemptExecutor = { instance, call, send ->
    when (val r = instance.ledger.claim(call)) {
        is BeginResult.Won -> r.permit.use { permit ->
            pause()
            if (!permit.startSending()) {
                AttemptResult.NOT_RUN
            } else {
                val outcome = send()
                if (outcome != null) permit.recordOutcome(outcome)
                if (outcome != null) AttemptResult.RAN else AttemptResult.UNKNOWN
            }
        }

        is BeginResult.Replay -> AttemptResult.REPLAYED

        is BeginResult.LogUnavailable, is BeginResult.NotReady, BeginResult.IssuedInFuture ->
            AttemptResult.NOT_RUN

        else -> AttemptResult.UNKNOWN
    }
}

/** Baseline without claims: sends if the log has no outcome for the key yet. */
internal val withoutClaims: AttemptExecutor = { instance, call, send ->
    val isDone = instance.log.read("orders", 1, Int.MAX_VALUE, Duration.ZERO).mapBoth(
        success = { b -> b.records.flatMap { RecordCodec.decodeOrders(it.payload).first } },
        failure = { emptyList() }
    ).any { it.key == call.key }
    val outcome = if (isDone) null else send()
    if (outcome != null) {
        val r = OrderRecord.Outcome(call.key, 0, outcome)
        val bytes = RecordCodec.encode(OrderRecord.serializer(), r)
        instance.log.append("orders", RecordCodec.encodeBatch(listOf(bytes)))
    }
    if (isDone) {
        AttemptResult.REPLAYED
    } else if (outcome != null) {
        AttemptResult.RAN
    } else {
        AttemptResult.UNKNOWN
    }
}

/** Simulates calls, retries and faults on several instances, all drawn from [seed]. */
internal class OrderSimulation(private val seed: Long, private val truncate: Boolean = false) {
    private val random = Random(seed)
    val time = VirtualTime(random)
    val log = SimulatedLog(time, random)
    private val peers = SimulatedPeers()
    private val settings = LedgerSettings(maxClockSkew = 1.seconds)
    private val ids = List(3) { InstanceId("entry-$it") }
    val instances = ids.map { start(it) }.toMutableList()

    /** Ids of the attempts that the backend server executed, by key. */
    val executions = mutableMapOf<OrderKey, MutableList<Int>>()

    /** Results by attempt id. */
    val attemptResults = mutableMapOf<Int, AttemptResult>()
    private var attempts = 0

    private fun start(id: InstanceId) =
        SimulatedInstance(id, time, log, peers, random.nextInt(), settings).start()

    /** Runs the simulation, without claims if [naive]. */
    fun run(naive: Boolean): OrderSimulation {
        time.advance(2_000)
        log.faultRate = random.nextDouble(0.4)
        val keys = List(KEYS) { key("order-$it") }
        for (k in keys) {
            val issuedAtMillis = time.wallMillis() + random.nextLong(SPAN_MILLIS)
            repeat(RETRIES) {
                val untilIssuedMillis = issuedAtMillis - time.wallMillis()
                time.after(untilIssuedMillis + random.nextLong(SPAN_MILLIS)) {
                    attempt(k, issuedAtMillis, naive)
                }
            }
        }
        repeat(if (truncate) 2 * FAULTS else FAULTS) {
            time.after(random.nextLong(2 * SPAN_MILLIS)) { injectFault() }
        }
        time.advance(3 * SPAN_MILLIS)
        log.faultRate = 0.0
        log.store.isDown = false
        time.advance(60_000)
        return this
    }

    private fun attempt(key: OrderKey, issuedAtMillis: Long, naive: Boolean) {
        val id = attempts++
        val instance = instances.random(random)
        val deadlineMillis = time.monotonicMillis() + random.nextLong(100, 8_000)
        val call = OrderCall(key, Digest(1, 1), issuedAtMillis, deadlineMillis)
        val executor = if (naive) withoutClaims else withClaims { interrupt(instance) }
        instance.process.scope.launch {
            attemptResults[id] = executor(instance, call) {
                time.after(random.nextLong(20)) {
                    executions.getOrPut(key) { mutableListOf() } += id
                }
                interrupt(instance)
                delay(random.nextLong(20, 2_000))
                outcome(id).takeIf { random.nextInt(8) != 0 }
            }
        }
    }

    /** Restarts or pauses the instance at random between two steps of a call. */
    private suspend fun interrupt(instance: SimulatedInstance) {
        when (random.nextInt(12)) {
            0 -> restart(instance)
            1 -> instance.process.pause(random.nextLong(6_000))
        }
        delay(random.nextLong(3))
    }

    private fun injectFault() {
        when (random.nextInt(if (truncate) 8 else 4)) {
            0 -> restart(instances.random(random))

            1 -> instances.random(random).process.pause(random.nextLong(15_000))

            2, 3 -> {
                log.store.isDown = true
                time.after(random.nextLong(5_000)) { log.store.isDown = false }
            }

            else -> {
                log.store.expire(time.wallMillis() - random.nextLong(SPAN_MILLIS / 4))
                restart(instances.random(random))
            }
        }
    }

    private fun restart(instance: SimulatedInstance) {
        val i = instances.indexOf(instance)
        if (i < 0) return
        instance.process.kill()
        instances[i] = start(instance.id)
    }

    /** Describes the violations of at-most-once execution. */
    fun violations(): List<String> = executions.filter { it.value.size > 1 }
        .map { (k, v) -> "seed $seed: ${k.key} executed by attempts $v" } +
        attemptResults
            .filter { (id, t) ->
                t == AttemptResult.NOT_RUN && executions.values.any { id in it }
            }
            .map { "seed $seed: attempt ${it.key} executed, but reported as not run" }

    companion object {
        private const val KEYS = 4
        private const val RETRIES = 4
        private const val FAULTS = 5
        private const val SPAN_MILLIS = 20_000L

        fun key(name: String) =
            OrderKey(OrganisationName("quarry-hill"), ServiceName("parts"), name)

        fun outcome(id: Int) =
            CallOutcome(201, mapOf("Location" to listOf("/$id")), "{\"id\":$id}".toByteArray())
    }
}
