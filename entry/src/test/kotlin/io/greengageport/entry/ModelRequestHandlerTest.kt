package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.greengageport.common.DataCentre
import io.greengageport.common.Gossip
import io.greengageport.common.GossipListener
import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.Member
import io.greengageport.common.Members
import io.greengageport.common.OrganisationName
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerError
import io.greengageport.common.PeerHandlers
import io.greengageport.common.RankName
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.common.SystemClock
import io.greengageport.limits.AdmissionController
import io.greengageport.limits.Capacity
import io.greengageport.limits.FairQueue
import io.greengageport.limits.OrganisationLimits
import io.greengageport.limits.QueueSettings
import io.greengageport.limits.RankPolicy
import io.greengageport.limits.UsageReporter
import io.greengageport.ports.InstanceListing
import io.greengageport.ports.StageTrace
import io.greengageport.routing.CostModel
import io.greengageport.routing.Fingerprint
import io.greengageport.routing.FirstFit
import io.greengageport.routing.Fleet
import io.greengageport.routing.LinkEstimator
import io.greengageport.routing.LoadEstimator
import io.greengageport.routing.MarkedReservations
import io.greengageport.routing.OutlierDetector
import io.greengageport.routing.PrefixIndex
import io.greengageport.routing.RetryBudget
import io.greengageport.routing.SuspectRequests
import io.greengageport.settings.ModelSettings
import io.greengageport.settings.Organisation
import io.greengageport.settings.OrganisationSettings
import io.greengageport.settings.Rank
import io.greengageport.settings.RankSettings
import io.greengageport.settings.Service
import io.greengageport.settings.ServiceSettings
import io.greengageport.settings.TimeoutSettings
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Runs [ModelRequestHandler] against in-process engines that misbehave according to scripts. */
class ModelRequestHandlerTest {
    private val outliers = OutlierDetector(SystemClock)
    private var retryMinimum = 10
    private val opened = mutableListOf<AutoCloseable>()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val clients = HttpClients().also { opened += it }

    @AfterEach
    fun close() {
        scope.cancel()
        opened.forEach { it.close() }
    }

    @Nested
    inner class Frames {
        /** Guards against foreign, late or duplicate tokens in an answer. */
        @Test
        fun `frames of other requests or attempts, duplicates and gaps are dropped`() {
            val engine = engine("a") {
                val f = frame(0)
                send(f.copy(request = RequestId("another"), text = "foreign "))
                send(f.copy(attempt = 7, text = "late "))
                send(f)
                send(f)
                send(frame(2))
                answerFrom(1)
            }
            expectThat(answer(engine)).isEqualTo("t0 t1 t2 t3 ")
        }

        /** Guards against an attempt that hangs because ignored frames restart its timeout. */
        @Test
        fun `frames of another request do not prevent the timeout of a silent stream`() {
            val engine = engine("a") {
                send(frame(0))
                while (true) {
                    send(frame(1).copy(request = RequestId("another")))
                    delay(50)
                }
            }
            val other = engine("b") { answerFrom(request.firstIndex) }
            expectThat(answer(engine, other)).isEqualTo("t0 t1 t2 t3 ")
        }

        @Test
        fun `a frame that skipped layers ends the attempt and the answer is resumed elsewhere`() {
            val wrong = engine("a") {
                send(frame(0))
                send(frame(1).copy(layers = listOf(StageTrace(RunnerId("a"), 0, 3))))
                awaitCancellation()
            }
            val right = engine("b") { answerFrom(request.firstIndex) }
            expectThat(answer(wrong, right)).isEqualTo("t0 t1 t2 t3 ")
            expectThat(right.requests.single().delivered).isEqualTo(listOf("t0 "))
        }
    }

    @Nested
    inner class MarkedRequests {
        /** Guards against two instances that run marked requests on the same runner. */
        @Test
        fun `the runners of each layer range are divided among the instances`() {
            val backends = backends()
            val engines = listOf("a", "b", "c", "d").map { engine(it) { answerFrom(0) } }
            backends.onListing(InstanceListing(runners = engines.map { it.listed }))
            val runners = (0 until 3).map { index ->
                backends.markedRequestRunners(ServiceName("model"), index, instanceCount = 3)
                    .map { it.value }
            }
            expectThat(runners).isEqualTo(listOf(listOf("a", "d"), listOf("b"), listOf("c")))
        }
    }

    @Nested
    inner class Resume {
        @Test
        fun `a broken stream resumes on another runner without lost or duplicate tokens`() {
            val breaking = engine("a") {
                send(frame(0))
                send(frame(1))
            }
            val other = engine("b") { answerFrom(request.firstIndex) }
            expectThat(answer(breaking, other)).isEqualTo("t0 t1 t2 t3 ")
            expectThat(other.requests.map { it.attempt to it.firstIndex }).isEqualTo(listOf(2 to 2))
        }

        @Test
        fun `a silent stream resumes on another runner`() {
            val silent = engine("a") {
                send(frame(0))
                awaitCancellation()
            }
            val other = engine("b") { answerFrom(request.firstIndex) }
            expectThat(answer(silent, other)).isEqualTo("t0 t1 t2 t3 ")
        }

        /** Guards against refusals while the instance list still contains a stopped runner. */
        @Test
        fun `a runner that refuses connections uses no retry and is ejected at once`() {
            val ended = engine("a") { answerFrom(0) }.also { it.close() }
            val other = engine("b") { answerFrom(0) }
            retryMinimum = 0
            expectThat(answer(ended, other)).isEqualTo("t0 t1 t2 t3 ")
            expectThat(outliers.ejectedRunners()).isEqualTo(setOf(RunnerId("a")))
        }

        @Test
        fun `an answer that no runner can complete ends with an error`() {
            val breaking = engine("a") { send(frame(0)) }
            expectThat(answer(breaking)).isEqualTo("t0 backend_failed ran")
        }

        @Test
        fun `a request that reached no runner is reported as not run`() {
            expectThat(answer()).isEqualTo("no_backend_server not_run")
        }
    }

    /** Guards against ended requests that keep marked requests from their runners permanently. */
    @Test
    fun `a request whose caller disconnected is no suspect of a later crash`() = runBlocking<Unit> {
        val engine = engine("a") {
            send(frame(0))
            awaitCancellation()
        }
        val backends = backends()
        backends.fleet.setLayers(ServiceName("model"), LAYERS)
        backends.onListing(InstanceListing(runners = listOf(engine.listed)))
        val firstToken = CompletableDeferred<Unit>()
        val run = launch {
            handler(backends).run(call(version = null), admission()) { _, _ ->
                firstToken.complete(Unit)
            }
        }
        firstToken.await()
        run.cancelAndJoin()
        backends.suspects.recordLostConnection(engine.id)
        expectThat(backends.suspects.recordRefusedConnection(engine.id)).isEmpty()
    }

    /**
     * Guards against requests that are marked as crashing runners, and runners that are ejected,
     * because this instance has lost its own network path.
     */
    @Nested
    inner class `A broken stream whose runner refuses connections` {
        private val backends = backends()

        private fun ended(id: String) = engine(id) { awaitCancellation() }.also { it.close() }

        private fun runBeside(vararg others: ScriptedEngine) = runBlocking {
            lateinit var crashing: ScriptedEngine
            crashing = engine("a") {
                send(frame(0))
                thread { crashing.close() }
                awaitCancellation()
            }
            val engines = listOf(crashing) + others
            backends.fleet.setLayers(ServiceName("model"), LAYERS)
            backends.onListing(InstanceListing(runners = engines.map { it.listed }))
            backends.onLoads(engines.mapIndexed { i, e -> e.report(rate = 1_000.0 / (i + 1)) })
            handler(backends).run(call(version = null), admission()) { _, _ -> }
        }

        private fun marks() = backends.suspects.state(Fingerprint("f"))?.marks.orEmpty()
            .map { it.runner.value }

        @Test
        fun `shows nothing if no other runner answers either`() {
            expectThat(runBeside(ended("b"), ended("c")).isErr).isEqualTo(true)
            expectThat(marks()).isEmpty()
            expectThat(outliers.ejectedRunners()).isEmpty()
        }

        @Test
        fun `shows a crash if another runner answers`() {
            val other = engine("b") {
                send(frame(1))
                awaitCancellation()
            }
            runBeside(ended("c"), other)
            expectThat(marks()).isEqualTo(listOf("a"))
        }
    }

    @Nested
    inner class Versions {
        private val breaking = engine("a", "v1") { send(frame(0)) }
        private val other = engine("b", "v2") { answerFrom(request.firstIndex) }
        private val same = engine("c", "v1") { answerFrom(request.firstIndex) }

        /** Guards against an answer that is continued by a faster or newer version. */
        @Test
        fun `an answer is resumed with the version of its first token`() {
            expectThat(answer(breaking, other, same)).isEqualTo("t0 t1 t2 t3 ")
            expectThat(other.requests.size to same.requests.map { it.version })
                .isEqualTo(0 to listOf("v1"))
        }

        @Test
        fun `an answer whose version has no other chain ends with an error`() {
            expectThat(answer(breaking, other)).isEqualTo("t0 backend_failed ran")
        }

        @Test
        fun `a request that names a version runs on that version`() {
            expectThat(answer(breaking, other, same, version = "v2")).isEqualTo("t0 t1 t2 t3 ")
            expectThat(listOf(breaking, other, same).map { it.requests.size })
                .isEqualTo(listOf(0, 1, 0))
        }
    }

    private fun engine(
        id: String,
        version: String = "",
        script: suspend ScriptedEngine.Script.() -> Unit
    ) = ScriptedEngine(RunnerId(id), LayerRange(0, LAYERS), version, script).also { opened += it }

    /**
     * The text that the caller receives, followed by the error, if any. Earlier engines report
     * higher speeds, so that they are preferred.
     */
    private fun answer(vararg engines: ScriptedEngine, version: String? = null) = runBlocking {
        val text = StringBuilder()
        val backends = backends()
        backends.fleet.setLayers(ServiceName("model"), LAYERS)
        backends.onListing(InstanceListing(runners = engines.map { it.listed }))
        backends.onLoads(engines.mapIndexed { i, e -> e.report(rate = 1_000.0 / (i + 1)) })
        val call = call(version)
        val end: Result<Int, RequestError> = handler(backends).run(call, admission()) { t, _ ->
            text.append(t)
        }
        end.fold({ text.toString() }, { "$text${it.code} ${it.execution.wireName}" })
    }

    private fun backends() = BackendFleet(
        SystemClock,
        NoGossip,
        Fleet(),
        LoadEstimator(),
        LinkEstimator(SystemClock),
        PrefixIndex(),
        outliers,
        SuspectRequests(SystemClock)
    )

    private fun handler(backends: BackendFleet) = ModelRequestHandler(
        ModelDependencies(
            clock = SystemClock,
            dataCentre = DataCentre("dc1"),
            members = OneMember,
            backends = backends,
            suspects = SuspectExchange(
                OneMember,
                NoPeers,
                NoPeers,
                backends.suspects,
                MarkedReservations(SystemClock)
            ),
            planner = FirstFit(
                CostModel(backends.loads, backends.links, backends.prefixes, SystemClock)
            ),
            engines = EngineClient(clients.backend, SystemClock, scope),
            probe = RunnerProbe(clients.probe, timeoutMillis = 2_000),
            retries = RetryBudget(SystemClock, Random(1), minimum = { retryMinimum }),
            retryPolicy = RetryPolicy.BUDGET,
            times = TimesConfig(frameTimeoutMillis = 300),
            decisions = DecisionLog(SystemClock),
            metrics = EntryMetrics()
        )
    )

    private fun admission() = ServiceAdmission(
        SystemClock,
        AdmissionController(
            SystemClock,
            FairQueue(QueueSettings(listOf(RankPolicy(RankName("urgent"), priority = 0)))),
            OrganisationLimits({ null }, UsageReporter(InstanceId("entry-1"), { null })),
            Capacity(1)
        )
    )

    private fun call(version: String?) = ModelCall(
        context = RequestContext(
            id = RequestId("request-1"),
            organisation = Organisation(
                OrganisationName("small"),
                "team",
                OrganisationSettings(keyHashes = emptyList())
            ),
            rank = Rank(RankName("urgent"), RankSettings(0, 340, 57, 30_000)),
            service = Service(
                ServiceName("model"),
                "team",
                ServiceSettings(
                    model = ModelSettings(layers = LAYERS, version = ""),
                    timeouts = TimeoutSettings(silenceMillis = 300)
                )
            ),
            arrivedAtMillis = SystemClock.monotonicMillis(),
            deadlineAtMillis = SystemClock.monotonicMillis() + 30_000
        ),
        prompt = "a prompt",
        promptTokens = 2,
        maxTokens = 4,
        fingerprint = Fingerprint("f"),
        version = version
    )

    private object OneMember : Members {
        override val self = InstanceId("entry-1")

        override fun live() = listOf(Member(self, "", DataCentre("dc1")))
    }

    private object NoGossip : Gossip {
        override fun publish(topic: String, key: String, version: Long, payload: ByteArray) = Unit

        override fun subscribe(topic: String, listener: GossipListener) = Unit
    }

    private object NoPeers : PeerCalls, PeerHandlers {
        override suspend fun call(
            peer: InstanceId,
            channel: String,
            payload: ByteArray,
            timeout: Duration
        ): Result<ByteArray, PeerError> = Err(PeerError.Unreachable(peer))

        override fun handle(
            channel: String,
            handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
        ) = Unit
    }

    private companion object {
        const val LAYERS = 4
    }
}
