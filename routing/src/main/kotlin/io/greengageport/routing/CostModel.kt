package io.greengageport.routing

import io.greengageport.common.Clock

/**
 * Cost model for engines with a queue, shared by all planners and by the `explain` command.
 *
 * The cost of a stage is its queueing delay (queued work divided by the service rate), the time to
 * compute the request on its layers, and the incoming hop once per output token. Prompt tokens are
 * computed in parallel and count as [prefillWeight] of an output token; cached prompt blocks are
 * free.
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
        val remoteMillis = if (runner.dataCentre == request.dataCentre) 0.0 else remoteStageMillis
        return RunnerCost(
            waitMillis = load.queuedTokens / rate * MILLIS_PER_SECOND + remoteMillis,
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
        /** An engine computes about ten prompt tokens in the time of one output token. */
        public const val DEFAULT_PREFILL_WEIGHT: Double = 0.1

        /** Extra wait at a runner in another data centre, so that ties go to a local runner. */
        public const val DEFAULT_REMOTE_STAGE_MILLIS: Double = 0.5
    }
}

/**
 * The cost of a stage: a fixed wait, plus time and work per layer. Work is counted in tokens that
 * the runner computes for its whole layer range; [savedTokens] are cached prompt tokens.
 */
public data class RunnerCost(
    val waitMillis: Double,
    val millisPerLayer: Double,
    val workPerLayer: Double,
    val savedTokens: Double
)
