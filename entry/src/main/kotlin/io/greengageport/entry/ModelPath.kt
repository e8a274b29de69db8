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

/** Receives the tokens of an answer in order; may suspend while the caller is slow. */
internal fun interface TokenSink {
    suspend fun token(text: String, last: Boolean)
}

/** A model call that was admitted. */
internal class ModelCall(
    val context: RequestContext,
    val prompt: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val fingerprint: Fingerprint,
    /** The version of the model that the caller named, if any. */
    val version: String? = null
)

/** The parts that the model path uses. */
internal class ModelParts(
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
    val metrics: EntryMetrics
)

/**
 * Runs model requests over chains of runners and resumes an answer on another chain when a stage
 * fails, from the tokens that the caller already has.
 */
internal class ModelPath(private val parts: ModelParts) {
    /** Streams the answer of [call] to [sink]; returns the number of tokens. */
    suspend fun run(
        call: ModelCall,
        admission: ServiceAdmission,
        sink: TokenSink
    ): Result<Int, RequestError> {
        val run = ModelRun(parts, call, admission, sink)
        parts.retries.admitted()
        try {
            return run.run()
        } finally {
            withContext(NonCancellable) { run.close() }
        }
    }
}
