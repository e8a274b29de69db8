package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId

/**
 * What is in flight on a runner: requests, and the memory that they hold there, in tokens times the
 * layers that the runner runs for them.
 */
public data class InFlight(val requests: Int, val tokenLayers: Long) {
    public companion object {
        public val NONE: InFlight = InFlight(0, 0L)
    }
}

/**
 * Expected times on engines that batch continuously.
 *
 * A step of a batch takes little longer with one more request in it, so load shows in the step time
 * and in memory and not in a queue. Transfers between data centres share one pipe and pass one
 * after another; [pipeWeight] charges a request for the time that its transfers keep others
 * waiting. A stage short of memory is charged so much that any other chain is taken first.
 */
public class BatchingCosts(
    private val profile: EngineProfile,
    override val links: LinkEstimator,
    private val inFlight: (RunnerId) -> InFlight,
    private val slowness: (RunnerId) -> Double = { 1.0 },
    private val pipeWeight: Double = DEFAULT_PIPE_WEIGHT
) : ChainCosts {
    override fun runnerCost(runner: Runner, request: RoutingRequest): RunnerCost {
        val card = requireNotNull(runner.card) { "the card of ${runner.id} is not known" }
        val load = inFlight(runner.id)
        val step = profile.stepMillis +
            profile.stepMillisPerRequest * (load.requests + 1) +
            profile.stepMillisPerThousandTokens * load.tokenLayers /
            (runner.layers?.size ?: 1) / THOUSAND
        val writing = request.outputTokens * step * card.stepFactor
        val reading = request.promptTokens * card.promptFactor / profile.promptTokensPerMilli
        return RunnerCost(
            waitMillis = STAGE_MILLIS_PER_TOKEN * request.outputTokens + memoryMillis(runner) +
                slotMillis(runner),
            millisPerLayer = (writing + reading) * slowness(runner.id) / profile.layers,
            workPerLayer = (request.promptTokens + request.outputTokens).toDouble() /
                profile.layers,
            savedTokens = 0.0
        )
    }

    override fun linkMillis(hopMillis: Double, request: RoutingRequest): Double =
        hopMillis * request.outputTokens

    override fun stageHopMillis(from: DataCentre, to: DataCentre, request: RoutingRequest): Double {
        val hops = linkMillis(links.hopMillis(from, to), request)
        if (from == to) return hops
        return hops + pipeWeight * profile.pipeMillis(request.promptTokens + request.outputTokens)
    }

    override fun cachedBlocks(runner: Runner, request: RoutingRequest): Double = 0.0

    /** The part of the memory for requests that is in use on [runner], 1 if it is full. */
    public fun memoryUse(runner: Runner): Double {
        val card = runner.card ?: return 0.0
        val layers = runner.layers?.size ?: return 0.0
        val room = profile.tokenRoom(card, layers) * layers
        return if (room > 0) inFlight(runner.id).tokenLayers / room else 1.0
    }

    /**
     * The part of the requests that [runner] may receive from instances; 0 if it holds other layers
     * than the first, since stages receive from each other without that limit.
     */
    public fun slotUse(runner: Runner): Double {
        if (runner.layers?.from != 0) return 0.0
        return inFlight(runner.id).requests.toDouble() / profile.slots
    }

    /** Grows from the first request on, so that copies fill up together. */
    private fun slotMillis(runner: Runner): Double {
        val use = slotUse(runner)
        return use * use * SLOT_MILLIS
    }

    private fun memoryMillis(runner: Runner): Double {
        val use = maxOf(memoryUse(runner), slotUse(runner))
        return maxOf(0.0, use - COMFORTABLE_MEMORY_USE) * TIGHTNESS_MILLIS +
            maxOf(0.0, use - 1) * SHORTAGE_MILLIS
    }

    public companion object {
        /**
         * A pipe carries some 40 prompts a second, about the load of a whole fleet, and slows all
         * chains that use it when it fills up. A chain crosses only where nothing else is left.
         */
        public const val DEFAULT_PIPE_WEIGHT: Double = 25.0

        /** Above this use, lengths of answers that are not known yet may fill the memory. */
        private const val COMFORTABLE_MEMORY_USE = 0.8

        /** Charge of a stage with full memory: less than a transfer between data centres. */
        private const val TIGHTNESS_MILLIS = 2_500.0

        /** Charge of a first stage that has all its slots taken, when it refuses requests. */
        private const val SLOT_MILLIS = 4_000.0

        /** Charge of a stage that would need twice its memory: more than any answer takes. */
        private const val SHORTAGE_MILLIS = 100_000.0

        /** Handing over a token from stage to stage costs some time wherever they are. */
        private const val STAGE_MILLIS_PER_TOKEN = 0.05
        private const val THOUSAND = 1_000.0
    }
}
