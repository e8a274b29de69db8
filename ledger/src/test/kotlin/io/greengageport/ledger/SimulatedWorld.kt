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

/** A log with latency that can drop appends, delay them and lose acknowledgements. */
internal class SimulatedLog(private val time: VirtualTime, private val random: Random) :
    LogService {
    val store = InMemoryLog(time)

    /** Share of appends that fail: dropped, delayed, or with a lost acknowledgement. */
    var faultRate = 0.0
    var maxLatencyMillis = 5L
    var maxRecordBytes = Int.MAX_VALUE

    override suspend fun append(stream: String, payload: ByteArray): Result<Long, LogError> {
        delay(random.nextLong(maxLatencyMillis + 1))
        if (store.isDown) return Err(LogError.Unavailable("log is down"))
        if (payload.size > maxRecordBytes) return Err(LogError.Rejected("record too large"))
        val storedOffset = CompletableDeferred<Long>()
        val fault = if (random.nextDouble() < faultRate) random.nextInt(3) else null
        // The append takes effect in the log service even if its writer is killed meanwhile.
        if (fault != DROPPED) {
            val lateMillis = if (fault == LATE) random.nextLong(20_000) else 0
            time.after(maxLatencyMillis / 2 + lateMillis) {
                storedOffset.complete(store.store(stream, payload))
            }
        }
        if (fault == null) return Ok(storedOffset.await())
        delay(random.nextLong(500))
        return Err(LogError.Uncertain("acknowledgement lost"))
    }

    override suspend fun read(
        stream: String,
        from: Long,
        max: Int,
        wait: Duration
    ): Result<LogBatch, LogError> {
        delay(random.nextLong(maxLatencyMillis + 1))
        val result = store.read(stream, from, max, wait)
        delay(random.nextLong(maxLatencyMillis + 1))
        return result
    }

    fun orderRecords(): List<OrderRecord> =
        records("orders").flatMap { RecordCodec.decodeOrders(it).first }

    fun records(stream: String): List<ByteArray> = VirtualTime(Random(0)).run {
        store.read(stream, 1, Int.MAX_VALUE, Duration.ZERO)
    }.value.records.map { it.payload }

    private companion object {
        const val DROPPED = 0
        const val LATE = 1
    }
}

/** Delivers peer calls between simulated instances. */
internal class SimulatedPeers {
    private class Peer(val process: SimulatedProcess) {
        val handlers = mutableMapOf<String, suspend (InstanceId, ByteArray) -> ByteArray>()
    }

    private val peers = mutableMapOf<InstanceId, Peer>()

    fun join(id: InstanceId, process: SimulatedProcess): PeerHandlers {
        val p = Peer(process)
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
            val p = peers[peer]?.takeUnless { it.process.isKilled }
                ?: return Err(PeerError.Unreachable(peer))
            val handler = p.handlers.getValue(channel)
            val reply = p.process.scope.async { handler(self, payload) }
            return withTimeoutOrNull(timeout) { Ok(reply.await()) }
                ?: Err(PeerError.TimedOut(peer))
        }
    }
}

/** An instance in its own process; a restart creates a new one with the same [id]. */
internal class SimulatedInstance(
    val id: InstanceId,
    val time: VirtualTime,
    val log: LogService,
    peers: SimulatedPeers,
    seed: Int,
    settings: LedgerSettings = LedgerSettings(),
    instances: () -> Int = { 1 }
) {
    val process = SimulatedProcess(time)
    val ledger = OrderLedger(
        log,
        id,
        peers.callsFrom(id),
        peers.join(id, process),
        time,
        Random(seed),
        instances,
        settings
    )

    fun start() = apply { process.scope.async { ledger.run() } }
}
