package io.greengageport.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.InstanceId
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.port.DutyAssignment
import io.greengageport.gateway.port.DutyGroup
import io.greengageport.gateway.port.EpochNumber
import io.greengageport.gateway.port.MemberAddress
import io.greengageport.gateway.port.StoreEpoch
import io.greengageport.gateway.port.StoreError
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/**
 * Guards against two instances that place layers at the same time, the previous one with a token
 * that is still valid.
 */
class DutyLeaseTest {
    private class ScriptedGroup(var answer: Result<DutyAssignment, StoreError>) : DutyGroup {
        var onRenew: () -> Unit = {}
        var renewals = 0
            private set

        override suspend fun renew(lastGeneration: Long): Result<DutyAssignment, StoreError> {
            renewals++
            onRenew()
            return answer
        }

        override suspend fun leave(): Result<Unit, StoreError> = Ok(Unit)

        override suspend fun holders(): Result<Map<InstanceId, MemberAddress>, StoreError> =
            Ok(emptyMap())
    }

    private val clock = SteppedClock()
    private val group = ScriptedGroup(Ok(DutyAssignment(7, setOf(0, 3), 3_000)))
    private var isUnreachableForAll = false
    private val epoch = StoreEpoch()
    private val lease = DutyLease(
        group = group,
        epoch = epoch,
        clock = clock,
        log = RecordedLog().log,
        onMembers = {},
        isStoreUnreachableForAll = { isUnreachableForAll },
        onStoreRecovered = { recoveries++ }
    )

    private var recoveries = 0

    private fun renewOnce() = runBlocking { lease.renew() }

    /** Renews, waits for the takeover delay of a new duty and renews again. */
    private fun renew() {
        renewOnce()
        clock.nowMillis += TAKEOVER_DELAY_MILLIS
        renewOnce()
    }

    @Test
    fun `the holder of the duty gets the generation as fencing token`() {
        renew()
        expectThat(lease.placementToken()).isEqualTo(7)
    }

    @Test
    fun `an instance without the duty gets no token`() {
        group.answer = Ok(DutyAssignment(7, setOf(3), 3_000))
        renew()
        expectThat(lease.placementToken()).isNull()
    }

    @Test
    fun `a duty expires by the holder's own clock while the store is unreachable`() {
        renew()
        group.answer = Err(StoreError.NoResponse("down"))
        clock.nowMillis += 2_600
        renewOnce()
        expectThat(lease.placementToken()).isNull()
    }

    @Test
    fun `a duty is extended for 30 s while the store is unreachable for all instances`() {
        renew()
        group.answer = Err(StoreError.NoResponse("down"))
        clock.nowMillis += 2_600
        renewOnce()
        isUnreachableForAll = true
        expectThat(lease.placementToken()).isEqualTo(7)
        clock.nowMillis += 31_000
        expectThat(lease.placementToken()).isNull()
    }

    @Test
    fun `an extended duty ends with the first answer that assigns it to another instance`() {
        renew()
        group.answer = Err(StoreError.NoResponse("down"))
        clock.nowMillis += 2_600
        renewOnce()
        isUnreachableForAll = true
        group.answer = Ok(DutyAssignment(9, setOf(3), 3_000))
        renew()
        expectThat(lease.placementToken()).isNull()
    }

    @Test
    fun `the time to live of a duty starts before the renewal is sent`() {
        group.onRenew = { clock.nowMillis += 2_700 }
        renew()
        expectThat(lease.placementToken()).isNull()
    }

    /**
     * Guards against two active holders: the previous one extends its duty while it assumes that
     * the store is unreachable for all.
     */
    @Test
    fun `a new holder waits until the previous one can have learned of the recovery`() {
        renewOnce()
        expectThat(lease.placementToken()).isNull()
        clock.nowMillis += TAKEOVER_DELAY_MILLIS - 1
        expectThat(lease.placementToken()).isNull()
        clock.nowMillis += 1
        expectThat(lease.placementToken()).isEqualTo(7)
    }

    /**
     * Guards against duties that nobody performs: an instance that joins again during its planned
     * stop keeps them until its time to live ends, after its process.
     */
    @Test
    fun `a stopping instance does not join the group again`() = runBlocking {
        val renewing = launch { lease.run() }
        val renewalsBefore = group.renewals
        while (group.renewals == renewalsBefore) yield()
        lease.leave()
        val renewalsAtStop = group.renewals
        delay(1_300)
        expectThat(group.renewals).isEqualTo(renewalsAtStop)
        renewing.cancelAndJoin()
    }

    /** Guards against layers that stay missing because the holder has just restarted. */
    @Test
    fun `an instance that has started waits only for the takeover`() {
        val token = EpochNumber.of(epoch = 2, number = 5)
        group.answer = Ok(DutyAssignment(token, setOf(0), TIME_TO_LIVE_MILLIS))
        group.onRenew = { epoch.observe(2) }
        renew()
        expectThat(lease.placementToken()).isEqualTo(token)
    }

    @Test
    fun `the recovery of the store is reported at once`() {
        renew()
        expectThat(recoveries).isEqualTo(0)
        group.answer = Err(StoreError.NoResponse("down"))
        clock.nowMillis += 2_600
        renewOnce()
        group.answer = Ok(DutyAssignment(7, setOf(0), 3_000))
        renewOnce()
        expectThat(recoveries).isEqualTo(1)
    }

    @Test
    fun `a rejected token is not used again but a later one is`() {
        renew()
        lease.onFenced(7)
        expectThat(lease.placementToken()).isNull()
        group.answer = Ok(DutyAssignment(9, setOf(0), 3_000))
        renew()
        expectThat(lease.placementToken()).isEqualTo(9)
    }

    @Test
    fun `a stopping instance has no token once it leaves the group`() {
        renew()
        runBlocking { lease.leave() }
        expectThat(lease.placementToken()).isNull()
    }

    /** Guards against duties that an earlier epoch of the store has assigned. */
    @Nested
    inner class `After a restore of the store` {
        private fun assign(epochNumber: Long, generation: Long, vararg duties: Int) {
            val token = EpochNumber.of(epochNumber, generation)
            group.answer = Ok(DutyAssignment(token, duties.toSet(), 3_000))
            group.onRenew = { epoch.observe(epochNumber) }
        }

        private fun failRenewals() {
            group.answer = Err(StoreError.Refused(503))
            group.onRenew = {}
        }

        /**
         * Guards against a holder that places although the copy has assigned the duty to another
         * instance.
         */
        @Test
        fun `a duty of the earlier epoch has lapsed at once`() {
            assign(1, 7, 0, 1)
            renew()
            expectThat(lease.placementToken()).isEqualTo(EpochNumber.of(1, 7))
            expectThat(lease.isReader).isTrue()
            epoch.observe(2)
            expectThat(lease.placementToken()).isNull()
            expectThat(lease.isReader).isFalse()
        }

        /** Guards against an extension by which a lapsed duty is used in the new epoch. */
        @Test
        fun `a duty of the earlier epoch is not extended`() {
            assign(1, 7, 0)
            renew()
            failRenewals()
            clock.nowMillis += 2_600
            renewOnce()
            isUnreachableForAll = true
            expectThat(lease.placementToken()).isEqualTo(EpochNumber.of(1, 7))
            epoch.observe(2)
            expectThat(lease.placementToken()).isNull()
        }

        /**
         * Guards against two holders: the copy has assigned the duty to this instance, while the
         * lease of a holder that has not reached the store since still runs.
         */
        @Test
        fun `a new holder waits until the leases of the earlier epoch have ended`() {
            assign(1, 7, 3)
            renew()
            assign(2, 5, 0)
            renewOnce()
            val firstAnswerMillis = clock.nowMillis
            while (clock.nowMillis < firstAnswerMillis + TIME_TO_LIVE_MILLIS) {
                expectThat(lease.placementToken()).isNull()
                clock.nowMillis += 500
                renewOnce()
            }
            expectThat(lease.placementToken()).isEqualTo(EpochNumber.of(2, 5))
        }

        /**
         * Guards against orders that rest on the entries of the copy, which engines replace within
         * two seconds.
         */
        @Test
        fun `the same holder waits until the list of servers is up to date`() {
            assign(1, 7, 0)
            renew()
            assign(2, 5, 0)
            renewOnce()
            clock.nowMillis += 2_000
            renewOnce()
            expectThat(lease.placementToken()).isNull()
            clock.nowMillis += 1_000
            expectThat(lease.placementToken()).isEqualTo(EpochNumber.of(2, 5))
        }

        @Test
        fun `a renewal in the new epoch confirms the duty of reading`() {
            assign(1, 7, 1)
            renew()
            epoch.observe(2)
            assign(2, 5, 1)
            renewOnce()
            expectThat(lease.isReader).isTrue()
        }

        /** Guards against a duty that stays unused for up to a second, and against bursts. */
        @Test
        fun `the membership is renewed at once and only once`() = runBlocking {
            assign(1, 7, 0)
            val renewalsBefore = group.renewals
            val renewing = launch { lease.run() }
            while (group.renewals == renewalsBefore) yield()
            failRenewals()
            epoch.observe(2)
            delay(500)
            expectThat(group.renewals - renewalsBefore).isEqualTo(2)
            renewing.cancelAndJoin()
        }
    }

    private companion object {
        const val TAKEOVER_DELAY_MILLIS = 200L
        const val TIME_TO_LIVE_MILLIS = 3_000L
    }
}
