package io.greengageport.limits

import io.greengageport.common.OrganisationName
import io.greengageport.common.RankName
import io.greengageport.common.RequestId

/** The jqwik seed of all property tests in this module. */
internal const val SEED = "20261204"

internal val URGENT = RankName("urgent")
internal val MIDDLE = RankName("middle")
internal val LOWEST = RankName("lowest")

internal fun ranks(middleFloor: Double = 0.2, lowestFloor: Double = 0.1) = listOf(
    RankPolicy(URGENT, priority = 0, firstTokenTargetMillis = 340),
    RankPolicy(MIDDLE, priority = 1, floorShare = middleFloor, firstTokenTargetMillis = 2_000),
    RankPolicy(LOWEST, priority = 2, floorShare = lowestFloor, firstTokenTargetMillis = 30_000)
)

internal fun org(name: Any) = OrganisationName("$name")

internal fun request(
    id: Any,
    rank: RankName = URGENT,
    organisation: Any = "a",
    tokens: Long = 100,
    deadline: Long = 1_000_000
) = QueuedRequest(RequestId("$id"), rank, org(organisation), tokens, deadline)
