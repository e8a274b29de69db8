package io.greengageport.entry

import com.github.michaelbull.result.Result
import io.greengageport.common.Clock
import io.greengageport.common.DataCentre
import io.greengageport.common.Members
import io.greengageport.common.RequestError
import io.greengageport.routing.ChainPlanner
import io.greengageport.routing.Fingerprint
import io.greengageport.routing.RetryBudget
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

/** Receives the tokens of an answer in order. May suspend to apply backpressure from the caller. */
internal fun interface TokenSink {
    /** Receives one token; [isLast] marks the end of the answer. */
    suspend fun onToken(text: String, isLast: Boolean)
}

/** An admitted call to a model service. */
internal class ModelCall(
    val context: RequestContext,
    val prompt: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val fingerprint: Fingerprint,
    /** The model version that the caller asked for, or null for any version. */
    val version: String? = null
)

/** The collaborators of [ModelRequestHandler]. */
internal class ModelDependencies(
    val clock: Clock,
    val dataCentre: DataCentre,
    val members: Members,
    val backends: BackendFleet,
    val suspects: SuspectExchange,
    val planner: ChainPlanner,
    val engines: EngineClient,
    val probe: RunnerProbe,
    val retries: RetryBudget,
    val retryPolicy: RetryPolicy,
    val times: TimesConfig,
    val decisions: DecisionLog,
    val metrics: EntryMetrics,
    val path: PathCheck = PathCheck(probe, backends::listedRunners, clock)
)

/**
 * Runs model requests over chains of runners. When a stage fails, the answer is resumed on another
 * chain after the tokens that the caller has already received.
 */
internal class ModelRequestHandler(private val deps: ModelDependencies) {
    /**
     * Streams the answer of [call] to [sink] and returns its number of tokens, or the error that
     * ended it.
     */
    suspend fun run(
        call: ModelCall,
        admission: ServiceAdmission,
        sink: TokenSink
    ): Result<Int, RequestError> {
        val run = ModelRun(deps, call, admission, sink)
        deps.retries.recordAdmission()
        try {
            return run.run()
        } finally {
            withContext(NonCancellable) { run.close() }
        }
    }
}
