package io.greengageport.gateway

import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.HostPort
import io.greengageport.common.LayerRange
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.gateway.logging.DecisionLog
import io.greengageport.gateway.model.BackendServer
import io.greengageport.gateway.model.CallerLimits
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.model.Repeatability
import io.greengageport.gateway.model.Route
import io.greengageport.gateway.model.RouteTable
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.model.WeightedService
import io.greengageport.routing.Accelerator
import io.greengageport.routing.EngineProfile
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** A clock that advances only when a test sets [nowMillis]. */
internal class SteppedClock(var nowMillis: Long = 1_000_000) : Clock {
    override fun monotonicMillis(): Long = nowMillis

    override fun wallMillis(): Long = nowMillis
}

/** A [log] that collects its [lines]. */
internal class RecordedLog {
    val lines = java.util.concurrent.CopyOnWriteArrayList<String>()
    val log = DecisionLog(write = { lines += it })
}

internal val MODEL = ServiceName("model")
internal val PLAIN = ServiceName("plain")

internal val ACCELERATOR = Accelerator("accelerator", 20_000.0, 10.0, 8.0)

internal fun engineProfile(): EngineProfile = EngineProfile(
    slots = 100,
    layers = 80,
    layerMegabytes = 1_750.0,
    tokenBytes = 800_000.0,
    activationBytes = 40_000.0,
    stepMillis = 0.85,
    stepMillisPerRequest = 0.005,
    stepMillisPerThousandTokens = 0.007,
    promptTokensPerMillisecond = 196.0,
    tokensPerEvent = 2,
    linkMegabitsPerSecond = 11_000.0,
    typicalPromptTokens = 770,
    typicalAnswerTokens = 170,
    accelerators = persistentMapOf("accelerator" to ACCELERATOR)
)

internal fun route(
    prefix: String = "/a/",
    host: String = "host.example",
    repeatability: Repeatability = Repeatability.IDEMPOTENT,
    isStreaming: Boolean = false,
    service: ServiceName = PLAIN,
    priority: Int = 0,
    maxAttempts: Int = 2
): Route = Route(
    name = "route$prefix",
    host = host,
    pathPrefix = prefix,
    repeatability = repeatability,
    isStreaming = isStreaming,
    timeoutMillis = 5_000,
    latencyTargetMillis = 500,
    priority = priority,
    targets = persistentListOf(WeightedService(service, 1.0)),
    maxAttempts = maxAttempts,
    isPublic = true,
    maxGapMillis = 200
)

internal fun configuration(
    version: Long = 1,
    routes: List<Route> = listOf(route())
): Configuration = Configuration(
    version = version,
    routes = RouteTable(routes),
    services = persistentMapOf(
        PLAIN to Service(PLAIN, "/health", 100, null),
        MODEL to Service(MODEL, "/health", 100, engineProfile())
    ),
    callerLimits = CallerLimits(),
    organisationsByKey = null
)

internal fun server(
    id: String,
    service: ServiceName = PLAIN,
    centre: String = "a",
    port: Int = 1,
    isLeaving: Boolean = false,
    startedAtMillis: Long = 5,
    layers: LayerRange? = null,
    sequence: Long? = null
): BackendServer = BackendServer(
    id = RunnerId(id),
    service = service,
    address = HostPort("127.0.0.1", port),
    dataCentre = DataCentre(centre),
    slots = 4,
    isLeaving = isLeaving,
    startedAtMillis = startedAtMillis,
    accelerator = if (service == MODEL) "accelerator" else null,
    layers = layers,
    sequence = sequence
)
