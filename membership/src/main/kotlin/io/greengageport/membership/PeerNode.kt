package io.greengageport.membership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.Clock
import io.greengageport.common.Gossip
import io.greengageport.common.GossipListener
import io.greengageport.common.InstanceId
import io.greengageport.common.Member
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerError
import io.greengageport.common.PeerHandlers
import io.greengageport.common.SystemClock
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger

/**
 * An entry instance's part in the peer protocol: member view, calls between instances and gossip.
 *
 * Instances authenticate each other by [secret], which has at least 16 bytes and is the same on
 * all. Handlers, listeners and items may be registered before [start].
 *
 * ```
 * val node = PeerNode(PeerSettings(InstanceId("entry-1"), dataCentre, "10.0.0.1", 7400), secret)
 * node.handle("echo") { _, payload -> payload }
 * node.subscribe("settings") { key, version, payload -> follow(key, version) }
 * node.start()
 * node.addSeeds(listOf("10.0.0.2:7400"))
 * node.publish("settings", "tree", version = 17, payload = hash)
 * node.leave()
 * ```
 *
 * Sources: "SWIM" (Das, Gupta, Motivala, 2002) and "Lifeguard" (Dadgar, Phillips, Currey, 2018).
 */
public class PeerNode(
    private val settings: PeerSettings,
    secret: ByteArray,
    private val clock: Clock = SystemClock,
    private val random: Random = Random.Default,
    private val timings: PeerTimings = PeerTimings(),
    dispatcher: CoroutineDispatcher = Dispatchers.Default
) : Members,
    PeerCalls,
    PeerHandlers,
    Gossip {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val handlers = RequestHandlers(scope, clock)
    private val pool = ConnectionPool(settings.id, secret, timings, clock, scope, ::onFrame)
    private val isStarted = AtomicBoolean()
    private val early = ConcurrentLinkedQueue<GossipItem>()
    private val subscriptions = Subscriptions(
        held = { core?.items(clock.monotonicMillis()).orEmpty() },
        newest = { core?.versionOf(it, clock.monotonicMillis()) }
    )

    @Volatile
    private var core: SwimCore? = null

    init {
        require(secret.size >= MIN_SECRET_BYTES) {
            "the shared secret must have at least $MIN_SECRET_BYTES bytes"
        }
    }

    /** The bound address `ip:port`; null before [start]. */
    @Volatile
    public var listenAddress: String? = null
        private set

    override val self: InstanceId get() = settings.id

    override fun live(): List<Member> = core?.view ?: listOf(record(settings.listenPort).toMember())

    /** Counters for metrics. */
    public fun stats(): PeerStats = pool.traffic.run {
        PeerStats(
            sentFrames = sentFrames.sum(),
            sentBytes = sentBytes.sum(),
            receivedFrames = receivedFrames.sum(),
            receivedBytes = receivedBytes.sum(),
            openedConnections = opened.sum(),
            openConnections = pool.size,
            replacedConnections = replaced.sum(),
            badFrames = badFrames.sum(),
            refusedPeers = refused.sum()
        )
    }

    /** Listens, begins to join through the seeds and returns the advertised address `ip:port`. */
    public suspend fun start(): Result<String, StartError> {
        if (!isStarted.compareAndSet(false, true)) return Err(StartError.AlreadyStarted)
        val port = try {
            pool.listen(settings.listenHost, settings.listenPort)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            isStarted.set(false)
            val address = "${settings.listenHost}:${settings.listenPort}"
            return Err(StartError.CannotListen(address, e.message ?: e.javaClass.simpleName))
        }
        listenAddress = "${settings.listenHost}:$port"
        val self = record(port)
        val started = SwimCore(self, timings, random)
        started.addSeeds(settings.seeds)
        core = started
        while (true) run(started.publish(early.poll() ?: break, clock.monotonicMillis()), null)
        scope.launch { subscriptions.run() }
        scope.launch { tick(started) }
        Logger.info { "membership: instance ${settings.id} listens at ${self.address}" }
        return Ok(self.address)
    }

    /** Adds peer addresses `ip:port`, for example of the platform's instance list. */
    public fun addSeeds(addresses: Collection<String>) {
        checkNotNull(core) { "the node is not started" }.addSeeds(addresses)
    }

    /** Announces that this instance leaves, lets the event spread for `leaveSpread` and stops. */
    public suspend fun leave() {
        announceLeaving()
        delay(timings.leaveSpread)
        core?.let { run(it.depart(), null) }
        delay(timings.tick)
        stop()
    }

    /** Marks this instance as leaving in all views; it keeps answering until [leave] or [stop]. */
    public fun announceLeaving() {
        core?.leave()
    }

    /** Closes all connections at once; peers see this instance fail. */
    public fun stop() {
        pool.close()
        scope.cancel()
    }

    /**
     * Calls [peer], which must be another instance. [PeerError.Unreachable] means that the call was
     * surely not handled. Payloads and replies have at most 1 MiB; a peer handles at most 128 calls
     * of one connection at a time and fails the others.
     */
    override suspend fun call(
        peer: InstanceId,
        channel: String,
        payload: ByteArray,
        timeout: Duration
    ): Result<ByteArray, PeerError> {
        require(payload.size <= FrameCodec.MAX_PAYLOAD_BYTES) {
            "a payload of ${payload.size} bytes exceeds ${FrameCodec.MAX_PAYLOAD_BYTES}"
        }
        val record = core?.find(peer)?.takeIf { it.isLive }
            ?: return Err(PeerError.Unreachable(peer))
        var request: PendingRequest? = null
        val reply = withTimeoutOrNull(timeout) {
            pool.open(peer, record.address).fold(
                success = { connection ->
                    request = connection.request(channel, payload, clock.monotonicMillis())
                    request?.let { await(peer, it) } ?: Err(PeerError.Unreachable(peer))
                },
                failure = { Err(PeerError.Unreachable(peer)) }
            )
        }
        request?.forget?.invoke()
        if (reply != null) return reply
        core?.let { run(it.probeSoon(peer, clock.monotonicMillis()), null) }
        return Err(if (request == null) PeerError.Unreachable(peer) else PeerError.TimedOut(peer))
    }

    override fun handle(
        channel: String,
        handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
    ): Unit = handlers.add(channel, handler)

    /** Publishes an item; [payload] has at most 512 bytes, topic and key 128 characters. */
    override fun publish(topic: String, key: String, version: Long, payload: ByteArray) {
        require(payload.size <= GossipItem.MAX_PAYLOAD_BYTES) {
            "an item of ${payload.size} bytes exceeds ${GossipItem.MAX_PAYLOAD_BYTES}"
        }
        require(topic.length + key.length <= GossipItem.MAX_NAME_BYTES) {
            "topic and key exceed ${GossipItem.MAX_NAME_BYTES} characters"
        }
        val lifetime = timings.itemLifetime.inWholeMilliseconds
        val item = GossipItem(topic, key, version, lifetime, payload.copyOf())
        val started = core
        if (started == null) {
            early += item
        } else {
            run(started.publish(item, clock.monotonicMillis()), null)
        }
    }

    /** Calls [listener] also for the items of [topic] that are already held. */
    override fun subscribe(topic: String, listener: GossipListener): Unit =
        subscriptions.subscribe(topic, listener)

    private suspend fun tick(core: SwimCore) {
        while (scope.isActive) {
            try {
                val now = clock.monotonicMillis()
                run(core.tick(now), null)
                pool.maintain(now, core.neighbours())
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                Logger.error(e) { "membership: periodic work failed" }
            }
            delay(timings.tick)
        }
    }

    private fun onFrame(connection: Connection, frame: Frame) {
        when (frame.kind) {
            FrameKind.SWIM -> {
                val message = FrameCodec.decode(SwimMessage.serializer(), frame.body)
                core?.let {
                    run(it.receive(connection.peer, message, clock.monotonicMillis()), connection)
                }
            }

            FrameKind.REQUEST -> handlers.handle(connection, frame)

            FrameKind.RESPONSE, FrameKind.FAILURE -> connection.complete(frame)

            FrameKind.PING -> connection.answerPing(clock.monotonicMillis())

            FrameKind.PONG -> Unit
        }
    }

    private fun run(effects: List<Effect>, origin: Connection?) = effects.forEach { effect ->
        when (effect) {
            is Effect.Send -> send(effect)
            is Effect.Reply -> origin?.offer(frame(effect.message), clock.monotonicMillis())
            is Effect.Reconnect -> pool.replace(effect.peer)
            is Effect.Notice -> MemberLog.write(effect.notice)
            is Effect.Deliver -> subscriptions.deliver(effect.item)
        }
    }

    private fun send(effect: Effect.Send) {
        val frame = frame(effect.message)
        val open = effect.to?.let { pool.find(it) }
        if (open != null) {
            open.offer(frame, clock.monotonicMillis())
            return
        }
        scope.launch {
            pool.open(effect.to, effect.address).fold(
                success = { it.offer(frame, clock.monotonicMillis()) },
                failure = { Logger.debug { "membership: no connection to ${effect.address}: $it" } }
            )
        }
    }

    private suspend fun await(
        peer: InstanceId,
        request: PendingRequest
    ): Result<ByteArray, PeerError> = try {
        val frame = request.response.await()
        if (frame.kind == FrameKind.RESPONSE) {
            Ok(frame.body)
        } else {
            Err(PeerError.Failed(peer, frame.channel))
        }
    } catch (e: ConnectionException) {
        Err(PeerError.TimedOut(peer))
    }

    private fun frame(message: SwimMessage): Frame = Frame(
        FrameKind.SWIM.ordinal,
        correlation = 0,
        channel = "",
        body = WireFormat.encodeToByteArray(SwimMessage.serializer(), message)
    )

    private fun record(port: Int): MemberRecord = MemberRecord(
        settings.id,
        "${settings.advertisedHost}:${settings.advertisedPort ?: port}",
        settings.dataCentre,
        boot = clock.wallMillis(),
        incarnation = 0,
        stateCode = MemberState.ALIVE.ordinal
    )

    private companion object {
        const val MIN_SECRET_BYTES = 16
    }
}
