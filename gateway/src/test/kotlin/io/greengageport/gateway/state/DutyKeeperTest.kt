package io.greengageport.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.DutyShare
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.gateway.port.StoreError
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against two instances that place layers at a time, the older with a valid token. */
class DutyKeeperTest {
    private class ScriptedGroup(var answer: Result<DutyShare, StoreError>) : DutyGroup {
        var onRenew: () -> Unit = {}

        override suspend fun renew(lastGeneration: Long): Result<DutyShare, StoreError> {
            onRenew()
            return answer
        }

        override suspend fun leave(): Result<Unit, StoreError> = Ok(Unit)

        override suspend fun holders(): Result<Map<InstanceId, MemberAddress>, StoreError> =
            Ok(emptyMap())
    }

    private val clock = SteppedClock()
    private val group = ScriptedGroup(Ok(DutyShare(7, setOf(0, 3), 3_000)))
    private var isAwayForAll = false
    private val keeper =
        DutyKeeper(group, clock, RecordedLog().log, {}, { isAwayForAll }, { regained++ })

    private var regained = 0

    private fun renewOnce() = runBlocking { keeper.renew() }

    /** Renews, and waits until a duty that is new may be used. */
    private fun renew() {
        renewOnce()
        clock.nowMillis += TAKEOVER_MILLIS
        renewOnce()
    }

    @Test
    fun `the generation is the token of the one that has the duty`() {
        renew()
        expectThat(keeper.placementToken()).isEqualTo(7)
    }

    @Test
    fun `an instance without the duty has no token`() {
        group.answer = Ok(DutyShare(7, setOf(3), 3_000))
        renew()
        expectThat(keeper.placementToken()).isNull()
    }

    @Test
    fun `a duty lapses by the holder's own clock while the store is away`() {
        renew()
        group.answer = Err(StoreError.NoAnswer("down"))
        clock.nowMillis += 2_600
        renewOnce()
        expectThat(keeper.placementToken()).isNull()
    }

    @Test
    fun `a duty is kept while the store answers nobody, who then cannot have it`() {
        renew()
        group.answer = Err(StoreError.NoAnswer("down"))
        clock.nowMillis += 2_600
        renewOnce()
        isAwayForAll = true
        expectThat(keeper.placementToken()).isEqualTo(7)
        clock.nowMillis += 31_000
        expectThat(keeper.placementToken()).isNull()
    }

    @Test
    fun `a duty that is kept ends with the first answer that gives it to another`() {
        renew()
        group.answer = Err(StoreError.NoAnswer("down"))
        clock.nowMillis += 2_600
        renewOnce()
        isAwayForAll = true
        group.answer = Ok(DutyShare(9, setOf(3), 3_000))
        renew()
        expectThat(keeper.placementToken()).isNull()
    }

    @Test
    fun `the time of a duty counts from before the renewal was sent`() {
        group.onRenew = { clock.nowMillis += 2_700 }
        renew()
        expectThat(keeper.placementToken()).isNull()
    }

    /**
     * Guards against two holders that act at once: the former one keeps its duty while it believes
     * that the store answers nobody.
     */
    @Test
    fun `a new holder waits until the former one has heard that the store is back`() {
        renewOnce()
        expectThat(keeper.placementToken()).isNull()
        clock.nowMillis += TAKEOVER_MILLIS - 1
        expectThat(keeper.placementToken()).isNull()
        clock.nowMillis += 1
        expectThat(keeper.placementToken()).isEqualTo(7)
    }

    @Test
    fun `peers are told at once that the store answers again`() {
        renew()
        expectThat(regained).isEqualTo(0)
        group.answer = Err(StoreError.NoAnswer("down"))
        clock.nowMillis += 2_600
        renewOnce()
        group.answer = Ok(DutyShare(7, setOf(0), 3_000))
        renewOnce()
        expectThat(regained).isEqualTo(1)
    }

    @Test
    fun `a token that was refused is not used again, and a later one is`() {
        renew()
        keeper.onFenced(7)
        expectThat(keeper.placementToken()).isNull()
        group.answer = Ok(DutyShare(9, setOf(0), 3_000))
        renew()
        expectThat(keeper.placementToken()).isEqualTo(9)
    }

    @Test
    fun `a stopping instance gives its duty up before it tells the store`() {
        renew()
        runBlocking { keeper.leave() }
        expectThat(keeper.placementToken()).isNull()
    }

    private companion object {
        const val TAKEOVER_MILLIS = 200L
    }
}
