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

/** What a caller was told about one attempt. */
internal enum class Told { RAN, REPLAYED, NOT_RUN, UNKNOWN }

/** How an instance carries out an attempt; the naive baseline is another one. */
internal typealias Executor =
    suspend (SimulatedInstance, OrderCall, send: suspend () -> CallOutcome?) -> Told

/** Sends through [OrderLedger], as the request path does. */
internal fun withClaims(pause: suspend () -> Unit): Executor = { instance, call, send ->
    when (val r = instance.ledger.begin(call)) {
        is BeginResult.Won -> r.permit.use { permit ->
            pause()
            if (!permit.startSending()) {
                Told.NOT_RUN
            } else {
                val outcome = send()
                if (outcome != null) permit.complete(outcome)
                if (outcome != null) Told.RAN else Told.UNKNOWN
            }
        }

        is BeginResult.Replay -> Told.REPLAYED

        is BeginResult.LogUnavailable, is BeginResult.NotReady, BeginResult.IssuedInFuture ->
            Told.NOT_RUN

        else -> Told.UNKNOWN
    }
}

/** The baseline without claims: sends whenever the log has no outcome of the key yet. */
internal val withoutClaims: Executor = { instance, call, send ->
    val done = instance.log.read("orders", 1, Int.MAX_VALUE, Duration.ZERO).mapBoth(
        success = { b -> b.records.flatMap { RecordCodec.orders(it.payload).first } },
        failure = { emptyList() }
    ).any { it.key == call.key }
    val outcome = if (done) null else send()
    if (outcome != null) {
        val r = OrderRecord.Outcome(call.key, 0, outcome)
        val bytes = RecordCodec.encode(OrderRecord.serializer(), r)
        instance.log.append("orders", RecordCodec.join(listOf(bytes)))
    }
    if (done) {
        Told.REPLAYED
    } else if (outcome != null) {
        Told.RAN
    } else {
        Told.UNKNOWN
    }
}

/** Random calls, retries and faults over several instances, all drawn from [seed]. */
internal class OrderSimulation(private val seed: Long, private val truncate: Boolean = false) {
    private val random = Random(seed)
    val time = VirtualTime(random)
    val log = SimulatedLog(time, random)
    private val peers = SimulatedPeers()
    private val settings = LedgerSettings(skew = 1.seconds)
    private val ids = List(3) { InstanceId("entry-$it") }
    val instances = ids.map { start(it) }.toMutableList()

    /** Attempts whose call reached the backend server, by key. */
    val effects = mutableMapOf<OrderKey, MutableList<Int>>()
    val told = mutableMapOf<Int, Told>()
    private var attempts = 0

    private fun start(id: InstanceId) =
        SimulatedInstance(id, time, log, peers, random.nextInt(), settings).start()

    fun run(naive: Boolean): OrderSimulation {
        time.advance(2_000)
        log.faults = random.nextDouble(0.4)
        val keys = List(KEYS) { key("order-$it") }
        for (k in keys) {
            val issuedAt = time.wallMillis() + random.nextLong(SPAN)
            repeat(RETRIES) {
                val first = issuedAt - time.wallMillis()
                time.after(first + random.nextLong(SPAN)) { attempt(k, issuedAt, naive) }
            }
        }
        repeat(if (truncate) 2 * FAULTS else FAULTS) {
            time.after(random.nextLong(2 * SPAN)) { fault() }
        }
        time.advance(3 * SPAN)
        log.faults = 0.0
        log.store.down = false
        time.advance(60_000)
        return this
    }

    private fun attempt(key: OrderKey, issuedAt: Long, naive: Boolean) {
        val id = attempts++
        val instance = instances.random(random)
        val deadline = time.monotonicMillis() + random.nextLong(100, 8_000)
        val call = OrderCall(key, Digest(1, 1), issuedAt, deadline)
        val executor = if (naive) withoutClaims else withClaims { interrupt(instance) }
        instance.lane.scope.launch {
            told[id] = executor(instance, call) {
                time.after(random.nextLong(20)) { effects.getOrPut(key) { mutableListOf() } += id }
                interrupt(instance)
                delay(random.nextLong(20, 2_000))
                outcome(id).takeIf { random.nextInt(8) != 0 }
            }
        }
    }

    /** Kills or pauses the instance between two steps of a call. */
    private suspend fun interrupt(instance: SimulatedInstance) {
        when (random.nextInt(12)) {
            0 -> restart(instance)
            1 -> instance.lane.pause(random.nextLong(6_000))
        }
        delay(random.nextLong(3))
    }

    private fun fault() {
        when (random.nextInt(if (truncate) 8 else 4)) {
            0 -> restart(instances.random(random))

            1 -> instances.random(random).lane.pause(random.nextLong(15_000))

            2, 3 -> {
                log.store.down = true
                time.after(random.nextLong(5_000)) { log.store.down = false }
            }

            else -> {
                log.store.expire(time.wallMillis() - random.nextLong(SPAN / 4))
                restart(instances.random(random))
            }
        }
    }

    private fun restart(instance: SimulatedInstance) {
        val i = instances.indexOf(instance)
        if (i < 0) return
        instance.lane.kill()
        instances[i] = start(instance.id)
    }

    /** Violations of the rules of at-most-once execution, in words. */
    fun violations(): List<String> = effects.filter { it.value.size > 1 }
        .map { (k, v) -> "seed $seed: ${k.key} ran by attempts $v" } +
        told.filter { (id, t) -> t == Told.NOT_RUN && effects.values.any { id in it } }
            .map { "seed $seed: attempt ${it.key} ran, but was told it did not" }

    companion object {
        private const val KEYS = 4
        private const val RETRIES = 4
        private const val FAULTS = 5
        private const val SPAN = 20_000L

        fun key(name: String) =
            OrderKey(OrganisationName("quarry-hill"), ServiceName("parts"), name)

        fun outcome(id: Int) =
            CallOutcome(201, mapOf("Location" to listOf("/$id")), "{\"id\":$id}".toByteArray())
    }
}
