package io.greengageport.routing

import io.greengageport.common.Clock

/**
 * Expected times of stages and hops, which all planners and the explanations share.
 *
 * A stage costs its wait (queued work divided by the service rate), the request's own work for the
 * layers it runs, and its incoming hop once per token. Prompt tokens are computed in parallel and
 * count as [prefillWeight] of an output token; cached prompt blocks count nothing.
 */
public class CostModel(
    public val loads: LoadEstimator,
    override val links: LinkEstimator,
    public val prefixes: PrefixIndex,
    private val clock: Clock,
    private val slowStart: SlowStart = SlowStart(),
    private val prefillWeight: Double = DEFAULT_PREFILL_WEIGHT,
    private val remoteStageMillis: Double = DEFAULT_REMOTE_STAGE_MILLIS
) : ChainCosts {
    override fun runnerCost(runner: Runner, request: RoutingRequest): RunnerCost {
        val load = load(runner)
        val rate = load.tokensPerSecond * slowStart.share(runner, clock.monotonicMillis())
        val saved = savedTokens(runner, request)
        val work = (request.promptTokens - saved) * prefillWeight + request.outputTokens
        val layers = runner.layers?.size ?: 1
        val remote = if (runner.dataCentre == request.dataCentre) 0.0 else remoteStageMillis
        return RunnerCost(
            waitMillis = load.queuedTokens / rate * MILLIS_PER_SECOND + remote,
            millisPerLayer = work / rate * MILLIS_PER_SECOND / layers,
            workPerLayer = work / layers,
            savedTokens = saved
        )
    }

    internal fun load(runner: Runner): EstimatedLoad =
        loads.load(runner.id, runner.tokensPerSecond, clock.wallMillis())

    override fun linkMillis(hopMillis: Double, request: RoutingRequest): Double =
        hopMillis * request.outputTokens

    override fun cachedBlocks(runner: Runner, request: RoutingRequest): Double =
        prefixes.cachedBlocks(runner.id, request.prefixBlocks)

    private fun savedTokens(runner: Runner, request: RoutingRequest): Double = minOf(
        cachedBlocks(runner, request) * PrefixIndex.BLOCK_TOKENS,
        request.promptTokens.toDouble()
    )

    public companion object {
        /** Engines compute about ten prompt tokens in the time of one output token. */
        public const val DEFAULT_PREFILL_WEIGHT: Double = 0.1

        /** Added to the wait at a runner of another data centre, so that equal costs stay local. */
        public const val DEFAULT_REMOTE_STAGE_MILLIS: Double = 0.5
    }
}

/** Cost of a stage: fixed [waitMillis], and per layer time and work (in tokens of its range). */
public data class RunnerCost(
    val waitMillis: Double,
    val millisPerLayer: Double,
    val workPerLayer: Double,
    val savedTokens: Double
)
