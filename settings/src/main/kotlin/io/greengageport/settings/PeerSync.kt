package io.greengageport.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.greengageport.common.Clock
import io.greengageport.common.Gossip
import io.greengageport.common.InstanceId
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerHandlers
import kotlin.random.Random
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.tinylog.kotlin.Logger

/**
 * Announces the version and hash of the state by gossip, serves the state to peers in parts, and
 * pulls newer states from peers.
 *
 * The proof that a version is the newest is a single gossip item shared by the whole fleet, so its
 * cost does not grow with the number of instances.
 */
internal class PeerSync(
    private val holder: StateHolder,
    private val members: Members,
    private val calls: PeerCalls,
    private val gossip: Gossip,
    private val clock: Clock,
    private val config: SettingsStoreConfig,
    private val random: Random
) {
    /**
     * A gossip item and a monotonic time: for an announcement that of its arrival, for a proof that
     * at which the version was shown to be the newest.
     */
    private class Timed<T>(val item: T, val atMillis: Long)

    @Volatile
    private var announced: Timed<Announcement>? = null

    @Volatile
    private var proof: Timed<Proof>? = null

    private var publishedVersion = -1L
    private val served = ServedSnapshot(config.snapshotPartBytes)

    /** Registers the handler of pull requests and subscribes to the gossip topics. */
    fun register(handlers: PeerHandlers) {
        handlers.handle(CHANNEL) { _, payload -> handlePull(payload) }
        gossip.subscribe(TREE_TOPIC) { _, _, payload -> onAnnouncement(payload) }
        gossip.subscribe(PROOF_TOPIC) { _, _, payload -> onProof(payload) }
    }

    /** Whether the log did not deliver an announced version within the configured time. */
    fun isBehind(): Boolean {
        val a = announced ?: return false
        val waitedMillis = clock.monotonicMillis() - a.atMillis
        return a.item.version > holder.state.version &&
            waitedMillis >= config.pullDelay.inWholeMilliseconds
    }

    /**
     * Monotonic time of the last proof, by an instance that is still live, that the local version
     * is the newest; null if there is none.
     */
    fun provenAtMillis(): Long? {
        val p = proof ?: return null
        val isApplied = p.item.version <= holder.state.version
        val isLive = members.live().any { it.id == p.item.by }
        return p.atMillis.takeIf { isApplied && isLive }
    }

    /**
     * Announces the local version, and publishes a proof for [ownProofMillis] unless the last known
     * proof is less than [SettingsStoreConfig.proofInterval] older. Without [ownProofMillis], only
     * the version is announced.
     */
    @Synchronized
    fun publish(ownProofMillis: Long?) {
        val s = holder.state
        if (s.version > publishedVersion) {
            publishedVersion = s.version
            val item = Announcement(s.version, s.hash, members.self)
            gossip.publish(TREE_TOPIC, KEY, s.version, encode(Announcement.serializer(), item))
        }
        if (ownProofMillis == null) return
        val intervalMillis = config.proofInterval.inWholeMilliseconds
        proof?.let { if (ownProofMillis - it.atMillis < intervalMillis) return }
        val ageMillis = clock.monotonicMillis() - ownProofMillis
        val item = Proof(s.version, clock.wallMillis() - ageMillis, members.self)
        proof = Timed(item, ownProofMillis)
        gossip.publish(PROOF_TOPIC, KEY, item.wallMillis, encode(Proof.serializer(), item))
    }

    /** Discards the cached snapshot if no peer requested it recently. */
    fun expire(): Unit = served.expire(clock.monotonicMillis())

    /** Pulls from up to [MAX_PEERS] peers, the announcing one first; returns true on success. */
    suspend fun pull(): Boolean {
        val others = members.live().map { it.id }.filter { it != members.self }.shuffled(random)
        val source = announced?.item?.source
        val order = others.sortedBy { it != source }.take(MAX_PEERS)
        for (peer in order) if (pullFrom(peer)) return true
        return false
    }

    /**
     * Requests the parts of the newest snapshot of [peer] in order; returns whether its state was
     * loaded. Starts over with the newest snapshot, up to [MAX_PULL_ATTEMPTS] times in all, if a
     * later part is not available.
     */
    private suspend fun pullFrom(peer: InstanceId): Boolean {
        repeat(MAX_PULL_ATTEMPTS) {
            val assembler = SnapshotAssembler()
            var part = requestPart(peer, "", 0) ?: return false
            while (true) {
                if (part.lastOffset <= holder.state.lastOffset) return false
                val state = assembler.add(part)
                if (state != null) return adopt(peer, state)
                if (part.index + 1 >= part.count) return false
                val next = requestPart(peer, part.hash, part.index + 1) ?: break
                part = next
            }
        }
        return false
    }

    /** Loads [state] if it is newer, unless another hash was announced for its version. */
    private fun adopt(peer: InstanceId, state: SettingsState): Boolean {
        val a = announced?.item
        if (a != null && a.version == state.version && a.hash != state.hash) {
            Logger.warn { "settings: discarded version ${state.version} from $peer: hash mismatch" }
            return false
        }
        val isNewer = holder.offer(state)
        if (isNewer) {
            holder.isReady.value = true
            Logger.info { "settings: loaded version ${state.version} from $peer" }
        }
        return isNewer
    }

    private suspend fun requestPart(peer: InstanceId, hash: String, index: Int): SnapshotPart? {
        val request = encode(PullRequest.serializer(), PullRequest(hash, index))
        val reply = calls.call(peer, CHANNEL, request, config.pullTimeout).getOrElse {
            Logger.debug { "settings: pull from $peer failed: $it" }
            return null
        }
        return RecordCodec.decode(PullReply.serializer(), reply).get()?.part
    }

    private fun handlePull(payload: ByteArray): ByteArray {
        val request = RecordCodec.decode(PullRequest.serializer(), payload).get()
        val part = request?.let { served.part(it, holder, clock.monotonicMillis()) }
        return encode(PullReply.serializer(), PullReply(part))
    }

    private fun onAnnouncement(payload: ByteArray) {
        val a = RecordCodec.decode(Announcement.serializer(), payload).get() ?: return
        if (a.version <= (announced?.item?.version ?: -1)) return
        announced = Timed(a, clock.monotonicMillis())
    }

    private fun onProof(payload: ByteArray) {
        val p = RecordCodec.decode(Proof.serializer(), payload).get() ?: return
        if (p.by == members.self || p.wallMillis <= (proof?.item?.wallMillis ?: 0)) return
        val ageMillis = maxOf(0, clock.wallMillis() - p.wallMillis)
        proof = Timed(p, clock.monotonicMillis() - ageMillis)
    }

    private fun <T> encode(s: KSerializer<T>, value: T) = RecordCodec.encode(s, value)

    @Serializable
    private class Announcement(val version: Long, val hash: TreeHash, val source: InstanceId)

    @Serializable
    private class Proof(val version: Long, val wallMillis: Long, val by: InstanceId)

    private companion object {
        const val CHANNEL = "settings.state"
        const val TREE_TOPIC = "settings.version"
        const val PROOF_TOPIC = "settings.proof"
        const val KEY = "tree"
        const val MAX_PEERS = 3
        const val MAX_PULL_ATTEMPTS = 3
    }
}

/** Requests one part of the snapshot with [hash], or of the newest one if [hash] is empty. */
@Serializable
internal class PullRequest(val hash: String, val index: Int)

/** [part] is null if the peer has no state or no longer has the requested snapshot. */
@Serializable
internal class PullReply(val part: SnapshotPart?)

/** Caches the snapshot that peers are pulling, to avoid encoding it for every part. */
internal class ServedSnapshot(private val partBytes: Int) {
    private var parts: List<SnapshotPart> = emptyList()
    private var usedAtMillis = 0L

    /** Returns the requested part, or null if it is not available. */
    @Synchronized
    fun part(request: PullRequest, holder: StateHolder, nowMillis: Long): SnapshotPart? {
        val state = holder.state
        if (request.hash.isEmpty()) {
            if (state.lastOffset == 0L) return null
            if (parts.firstOrNull()?.lastOffset !=
                state.lastOffset
            ) {
                parts = Snapshot.split(state, partBytes)
            }
        }
        usedAtMillis = nowMillis
        return parts.getOrNull(request.index)
            ?.takeIf { request.hash.isEmpty() || it.hash == request.hash }
    }

    /** Discards the parts if none was requested within [KEEP_MILLIS]. */
    @Synchronized
    fun expire(nowMillis: Long) {
        if (nowMillis - usedAtMillis > KEEP_MILLIS) parts = emptyList()
    }

    private companion object {
        const val KEEP_MILLIS = 30_000L
    }
}
