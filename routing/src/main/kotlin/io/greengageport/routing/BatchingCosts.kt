package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.RunnerId

/**
 * The load in flight on a runner: the number of requests, and the memory that they occupy there, in
 * token-layers (tokens times the layers that the runner computes for them).
 */
public data class InFlight(val requests: Int, val tokenLayers: Long) {
    public companion object {
        public val NONE: InFlight = InFlight(0, 0L)
    }
}

/**
 * Cost model for engines with continuous batching.
 *
 * Adding a request to a batch makes each step only slightly longer, so load shows in step time and
 * memory rather than in a queue. Transfers between data centres share one link and are sent one
 * after another; [transferWeight] is the factor by which a request is charged for the time that its
 * transfers delay others. A stage that is short of memory gets a penalty so high that any other
 * chain is preferred.
 */
public class BatchingCosts(
    private val profile: EngineProfile,
    override val links: LinkEstimator,
    private val inFlight: (RunnerId) -> InFlight,
    private val slowness: (RunnerId) -> Double = { 1.0 },
    private val transferWeight: Double = DEFAULT_TRANSFER_WEIGHT
) : ChainCosts {
    override fun runnerCost(runner: Runner, request: RoutingRequest): RunnerCost {
        val accelerator =
            requireNotNull(runner.accelerator) { "the accelerator of ${runner.id} is unknown" }
        val load = inFlight(runner.id)
        val stepMillis = profile.stepMillis +
            profile.stepMillisPerRequest * (load.requests + 1) +
            profile.stepMillisPerThousandTokens * load.tokenLayers /
            (runner.layers?.size ?: 1) / THOUSAND
        val decodeMillis = request.outputTokens * stepMillis * accelerator.stepFactor
        val prefillMillis =
            request.promptTokens * accelerator.promptFactor / profile.promptTokensPerMillisecond
        return RunnerCost(
            waitMillis = STAGE_MILLIS_PER_TOKEN * request.outputTokens +
                memoryPenaltyMillis(runner) + slotPenaltyMillis(runner),
            millisPerLayer = (decodeMillis + prefillMillis) * slowness(runner.id) / profile.layers,
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
        return hops +
            transferWeight * profile.transferMillis(request.promptTokens + request.outputTokens)
    }

    override fun cachedBlocks(runner: Runner, request: RoutingRequest): Double = 0.0

    /**
     * Used share of the memory that [runner] has for requests: 1 if it is full, more if the
     * requests in flight need more than that.
     */
    public fun usedMemoryShare(runner: Runner): Double {
        val accelerator = runner.accelerator ?: return 0.0
        val layers = runner.layers?.size ?: return 0.0
        val capacity = profile.tokenCapacity(accelerator, layers) * layers
        return if (capacity > 0) inFlight(runner.id).tokenLayers / capacity else 1.0
    }

    /**
     * Used share of the slots in which [runner] receives requests from instances; 0 if [runner]
     * does not hold the first layer, because requests between stages need no slot.
     */
    public fun usedSlotShare(runner: Runner): Double {
        if (runner.layers?.from != 0) return 0.0
        return inFlight(runner.id).requests.toDouble() / profile.slots
    }

    /** Grows from the first request on, so that the copies of a model fill up evenly. */
    private fun slotPenaltyMillis(runner: Runner): Double {
        val usedShare = usedSlotShare(runner)
        return usedShare * usedShare * FULL_SLOTS_PENALTY_MILLIS
    }

    /**
     * Rises with the share of the memory or slots in use, whichever is larger: slowly from
     * [MEMORY_PENALTY_THRESHOLD] on, and steeply above 1.
     */
    private fun memoryPenaltyMillis(runner: Runner): Double {
        val usedShare = maxOf(usedMemoryShare(runner), usedSlotShare(runner))
        return maxOf(0.0, usedShare - MEMORY_PENALTY_THRESHOLD) * NEARLY_FULL_PENALTY_MILLIS +
            maxOf(0.0, usedShare - 1) * MEMORY_OVERFLOW_PENALTY_MILLIS
    }

    public companion object {
        /**
         * A link between data centres carries about 40 prompts per second, roughly the load of a
         * whole fleet, and a full link slows down every chain that uses it. With this weight, a
         * chain crosses data centres only if no other chain is possible.
         */
        public const val DEFAULT_TRANSFER_WEIGHT: Double = 25.0

        /** Above this share, answers that turn out longer than expected may fill the memory. */
        private const val MEMORY_PENALTY_THRESHOLD = 0.8

        /**
         * Penalty per unit of used share above the threshold. At full memory the penalty is 500 ms,
         * less than the charge for a transfer between data centres.
         */
        private const val NEARLY_FULL_PENALTY_MILLIS = 2_500.0

        /** Penalty of a first stage whose slots are all taken, so that it refuses requests. */
        private const val FULL_SLOTS_PENALTY_MILLIS = 4_000.0

        /** Penalty added for a stage that needs twice its memory; longer than any answer takes. */
        private const val MEMORY_OVERFLOW_PENALTY_MILLIS = 100_000.0

        /** Time to pass a token to the next stage, even within a data centre. */
        private const val STAGE_MILLIS_PER_TOKEN = 0.05
        private const val THOUSAND = 1_000.0
    }
}
