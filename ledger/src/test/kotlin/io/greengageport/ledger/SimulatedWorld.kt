package io.greengageport.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerError
import io.greengageport.common.PeerHandlers
import io.greengageport.ports.LogBatch
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import io.greengageport.testkit.InMemoryLog
import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** A log with latency that loses acknowledgements and lets appends arrive late. */
internal class SimulatedLog(private val time: VirtualTime, private val random: Random) :
    LogService {
    val store = InMemoryLog(time)

    /** Share of appends whose acknowledgement, or which themselves, are lost or late. */
    var faults = 0.0
    var latency = 5L
    var maxBytes = Int.MAX_VALUE

    override suspend fun append(stream: String, payload: ByteArray): Result<Long, LogError> {
        delay(random.nextLong(latency + 1))
        if (store.down) return Err(LogError.Unavailable("log is down"))
        if (payload.size > maxBytes) return Err(LogError.Rejected("record too large"))
        val done = CompletableDeferred<Long>()
        val fault = if (random.nextDouble() < faults) random.nextInt(3) else null
        // The effect takes place in the log service, also when the writer is killed meanwhile.
        if (fault != DROPPED) {
            val late = if (fault == LATE) random.nextLong(20_000) else 0
            time.after(latency / 2 + late) { done.complete(store.store(stream, payload)) }
        }
        if (fault == null) return Ok(done.await())
        delay(random.nextLong(500))
        return Err(LogError.Uncertain("acknowledgement lost"))
    }

    override suspend fun read(
        stream: String,
        from: Long,
        max: Int,
        wait: Duration
    ): Result<LogBatch, LogError> {
        delay(random.nextLong(latency + 1))
        val r = store.read(stream, from, max, wait)
        delay(random.nextLong(latency + 1))
        return r
    }

    fun orders(): List<OrderRecord> = records("orders").flatMap { RecordCodec.orders(it).first }

    fun records(stream: String): List<ByteArray> = VirtualTime(Random(0)).run {
        store.read(stream, 1, Int.MAX_VALUE, Duration.ZERO)
    }.value.records.map { it.payload }

    private companion object {
        const val DROPPED = 0
        const val LATE = 1
    }
}

/** Peer calls between simulated instances. */
internal class SimulatedPeers {
    private class Peer(val lane: Lane) {
        val handlers = mutableMapOf<String, suspend (InstanceId, ByteArray) -> ByteArray>()
    }

    private val peers = mutableMapOf<InstanceId, Peer>()

    fun join(id: InstanceId, lane: Lane): PeerHandlers {
        val p = Peer(lane)
        peers[id] = p
        return object : PeerHandlers {
            override fun handle(
                channel: String,
                handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
            ) {
                p.handlers[channel] = handler
            }
        }
    }

    fun callsFrom(self: InstanceId): PeerCalls = object : PeerCalls {
        override suspend fun call(
            peer: InstanceId,
            channel: String,
            payload: ByteArray,
            timeout: Duration
        ): Result<ByteArray, PeerError> {
            val p = peers[peer]?.takeUnless { it.lane.killed }
                ?: return Err(PeerError.Unreachable(peer))
            val handler = p.handlers.getValue(channel)
            val reply = p.lane.scope.async { handler(self, payload) }
            return withTimeoutOrNull(timeout) { Ok(reply.await()) }
                ?: Err(PeerError.TimedOut(peer))
        }
    }
}

/** An instance with its own thread; a restart makes a new one with the same [id]. */
internal class SimulatedInstance(
    val id: InstanceId,
    val time: VirtualTime,
    val log: LogService,
    peers: SimulatedPeers,
    seed: Int,
    settings: LedgerSettings = LedgerSettings(),
    instances: () -> Int = { 1 }
) {
    val lane = Lane(time)
    val ledger = OrderLedger(
        log,
        id,
        peers.callsFrom(id),
        peers.join(id, lane),
        time,
        Random(seed),
        instances,
        settings
    )

    fun start() = apply { lane.scope.async { ledger.run() } }
}
