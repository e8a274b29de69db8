package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName

/**
 * The input of a planner for one attempt of a request.
 *
 * [promptTokens] and [outputTokens] are expected numbers of tokens. [prefixBlocks] are the block
 * hashes of the prompt (see [PrefixIndex.blocks]). [excluded] contains ejected runners and those
 * that failed in earlier attempts. If [isMarked], the request must avoid
 * [runnersWithMarkedRequests], the runners that already run a marked request. If [version] is set,
 * only runners of that version of the model are used; otherwise those of [fallbackVersions] are
 * used only if no other version has a chain.
 */
public class RoutingRequest(
    public val id: RequestId,
    public val service: ServiceName,
    public val dataCentre: DataCentre,
    public val attempt: Int = 1,
    public val promptTokens: Int = 0,
    public val outputTokens: Int = 1,
    public val prefixBlocks: LongArray = NO_BLOCKS,
    public val excluded: Set<RunnerId> = emptySet(),
    public val isMarked: Boolean = false,
    public val runnersWithMarkedRequests: Set<RunnerId> = emptySet(),
    public val version: String? = null,
    public val fallbackVersions: Set<String> = emptySet()
) {
    init {
        require(promptTokens >= 0) { "promptTokens must not be negative, but is $promptTokens" }
        require(outputTokens > 0) { "outputTokens must be positive, but is $outputTokens" }
    }

    /** Whether the request can run on [runner]. */
    public fun allows(runner: Runner): Boolean = !runner.isLeaving &&
        runner.id !in excluded &&
        !(isMarked && runner.id in runnersWithMarkedRequests)

    private companion object {
        val NO_BLOCKS = LongArray(0)
    }
}
