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
 * The peer protocol of an entry instance: member view, calls between instances and gossip.
 *
 * Instances authenticate each other by [secret], which has at least 16 bytes and is the same on all
 * instances. Handlers, listeners and items may be added before [start].
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
 * References: "SWIM" (Das, Gupta, Motivala, 2002) and "Lifeguard" (Dadgar, Phillips, Currey, 2018).
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

    /** Items published before [start]. */
    private val backlog = ConcurrentLinkedQueue<GossipItem>()

    private val subscriptions = Subscriptions(
        heldItems = { core?.items(clock.monotonicMillis()).orEmpty() },
        newestVersion = { core?.versionOf(it, clock.monotonicMillis()) }
    )

    @Volatile
    private var core: SwimCore? = null

    init {
        require(secret.size >= MIN_SECRET_BYTES) {
            "the shared secret must have at least $MIN_SECRET_BYTES bytes"
        }
    }

    /** The bound address as `ip:port`; null before [start]. */
    @Volatile
    public var listenAddress: String? = null
        private set

    override val self: InstanceId get() = settings.id

    override fun live(): List<Member> =
        core?.view ?: listOf(ownRecord(settings.listenPort).toMember())

    /** Returns the current counters, for metrics. */
    public fun stats(): PeerStats = pool.traffic.run {
        PeerStats(
            sentFrames = sentFrames.sum(),
            sentBytes = sentBytes.sum(),
            receivedFrames = receivedFrames.sum(),
            receivedBytes = receivedBytes.sum(),
            openedConnections = openedConnections.sum(),
            openConnections = pool.size,
            replacedConnections = replacedConnections.sum(),
            badFrames = badFrames.sum(),
            refusedPeers = refusedConnections.sum()
        )
    }

    /** Starts to listen and to join through the seeds; returns the advertised `ip:port`. */
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
        val self = ownRecord(port)
        val swim = SwimCore(self, timings, random)
        swim.addSeeds(settings.seeds)
        core = swim
        while (true) perform(swim.publish(backlog.poll() ?: break, clock.monotonicMillis()), null)
        scope.launch { subscriptions.processQueue() }
        scope.launch { runTicks(swim) }
        Logger.info { "membership: ${settings.id} listens, advertised as ${self.address}" }
        return Ok(self.address)
    }

    /**
     * Adds seeds as `ip:port`, for example from the platform's instance list. The node must be
     * started.
     */
    public fun addSeeds(addresses: Collection<String>) {
        checkNotNull(core) { "the node is not started" }.addSeeds(addresses)
    }

    /** Announces that this instance leaves, waits [PeerTimings.leaveDelay] and stops. */
    public suspend fun leave() {
        announceLeaving()
        delay(timings.leaveDelay)
        core?.let { perform(it.announceLeft(), null) }
        delay(timings.tickInterval)
        stop()
    }

    /** Marks this instance as leaving in all views; it still answers until [leave] or [stop]. */
    public fun announceLeaving() {
        core?.announceLeaving()
    }

    /** Closes all connections without notice; peers then detect a failure of this instance. */
    public fun stop() {
        pool.close()
        scope.cancel()
    }

    /**
     * Calls [peer], which must be another instance.
     *
     * [PeerError.Unreachable] guarantees that the call was not handled. Payloads and replies are
     * limited to 1 MiB each. A peer handles at most 128 concurrent calls per connection and rejects
     * further ones with [PeerError.Failed].
     */
    override suspend fun call(
        peer: InstanceId,
        channel: String,
        payload: ByteArray,
        timeout: Duration
    ): Result<ByteArray, PeerError> {
        require(payload.size <= FrameCodec.MAX_PAYLOAD_BYTES) {
            "payload of ${payload.size} bytes exceeds ${FrameCodec.MAX_PAYLOAD_BYTES} bytes"
        }
        val record = core?.find(peer)?.takeIf { it.isLive }
            ?: return Err(PeerError.Unreachable(peer))
        var request: PendingRequest? = null
        val reply = withTimeoutOrNull(timeout) {
            pool.connect(peer, record.address).fold(
                success = { connection ->
                    request = connection.request(channel, payload, clock.monotonicMillis())
                    request?.let { awaitReply(peer, it) } ?: Err(PeerError.Unreachable(peer))
                },
                failure = { Err(PeerError.Unreachable(peer)) }
            )
        }
        request?.abandon?.invoke()
        if (reply != null) return reply
        core?.let { perform(it.probeNow(peer, clock.monotonicMillis()), null) }
        return Err(if (request == null) PeerError.Unreachable(peer) else PeerError.TimedOut(peer))
    }

    override fun handle(
        channel: String,
        handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
    ): Unit = handlers.add(channel, handler)

    /** Publishes an item: [payload] up to 512 bytes, topic and key together 128 characters. */
    override fun publish(topic: String, key: String, version: Long, payload: ByteArray) {
        require(payload.size <= GossipItem.MAX_PAYLOAD_BYTES) {
            "payload of ${payload.size} bytes exceeds ${GossipItem.MAX_PAYLOAD_BYTES} bytes"
        }
        require(topic.length + key.length <= GossipItem.MAX_NAME_BYTES) {
            "topic and key together exceed ${GossipItem.MAX_NAME_BYTES} characters"
        }
        val lifetime = timings.itemLifetime.inWholeMilliseconds
        val item = GossipItem(topic, key, version, lifetime, payload.copyOf())
        val started = core
        if (started == null) {
            backlog += item
        } else {
            perform(started.publish(item, clock.monotonicMillis()), null)
        }
    }

    /** Calls [listener] for the items of [topic], those already known included. */
    override fun subscribe(topic: String, listener: GossipListener): Unit =
        subscriptions.subscribe(topic, listener)

    private suspend fun runTicks(core: SwimCore) {
        while (scope.isActive) {
            try {
                val now = clock.monotonicMillis()
                perform(core.tick(now), null)
                pool.closeIdleAndSilent(now, core.neighbours())
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                Logger.error(e) { "membership: tick failed; retrying at the next tick" }
            }
            delay(timings.tickInterval)
        }
    }

    private fun onFrame(connection: Connection, frame: Frame) {
        when (frame.kind) {
            FrameKind.SWIM -> {
                val message = FrameCodec.decode(SwimMessage.serializer(), frame.body)
                core?.let {
                    perform(
                        it.receive(connection.peer, message, clock.monotonicMillis()),
                        connection
                    )
                }
            }

            FrameKind.REQUEST -> handlers.handle(connection, frame)

            FrameKind.RESPONSE, FrameKind.FAILURE -> connection.complete(frame)

            FrameKind.PING -> connection.sendPong(clock.monotonicMillis())

            FrameKind.PONG -> Unit
        }
    }

    /** Performs [effects] in order. Replies go to [origin], on which the message arrived. */
    private fun perform(effects: List<Effect>, origin: Connection?) = effects.forEach { effect ->
        when (effect) {
            is Effect.Send -> send(effect)
            is Effect.Reply -> origin?.offer(frameOf(effect.message), clock.monotonicMillis())
            is Effect.Reconnect -> pool.closeUnresponsive(effect.peer)
            is Effect.LogChange -> MemberLog.log(effect.change)
            is Effect.Deliver -> subscriptions.deliver(effect.item)
        }
    }

    private fun send(effect: Effect.Send) {
        val frame = frameOf(effect.message)
        val connection = effect.to?.let { pool.find(it) }
        if (connection != null) {
            connection.offer(frame, clock.monotonicMillis())
            return
        }
        scope.launch {
            pool.connect(effect.to, effect.address).fold(
                success = { it.offer(frame, clock.monotonicMillis()) },
                failure = {
                    Logger.debug { "membership: no connection to ${effect.address}: $it" }
                }
            )
        }
    }

    private suspend fun awaitReply(
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

    private fun frameOf(message: SwimMessage): Frame = Frame(
        FrameKind.SWIM.ordinal,
        correlation = 0,
        channel = "",
        body = WireFormat.encodeToByteArray(SwimMessage.serializer(), message)
    )

    private fun ownRecord(port: Int): MemberRecord = MemberRecord(
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
