package io.greengageport.routing

import io.greengageport.common.DataCentre
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName

/**
 * What a planner has to know of one attempt of a request.
 *
 * [promptTokens] and [outputTokens] are expected amounts of work. [prefixBlocks] are the hashes of
 * the prompt's blocks, each covering the prompt from its start (see [PrefixIndex.blocks]).
 * [excluded] holds ejected runners and those that failed in earlier attempts; [markedBusy] holds
 * the runners that already run a marked request, which a [marked] request avoids. With a [version]
 * only runners of that version of the model are used; without one those of [lastVersions] are used
 * only if no other version has a chain.
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
    public val marked: Boolean = false,
    public val markedBusy: Set<RunnerId> = emptySet(),
    public val version: String? = null,
    public val lastVersions: Set<String> = emptySet()
) {
    init {
        require(promptTokens >= 0) { "prompt tokens are not negative: $promptTokens" }
        require(outputTokens > 0) { "a request asks for at least one token, not $outputTokens" }
    }

    /** Whether the request may run on [runner]. */
    public fun allows(runner: Runner): Boolean = !runner.leaving &&
        runner.id !in excluded &&
        !(marked && runner.id in markedBusy)

    private companion object {
        val NO_BLOCKS = LongArray(0)
    }
}
