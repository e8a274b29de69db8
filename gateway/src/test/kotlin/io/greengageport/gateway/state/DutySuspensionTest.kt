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
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against an instance that keeps duties although it reaches no backend server. */
class DutySuspensionTest {
    private class ScriptedGroup : DutyGroup {
        var answer: Result<DutyAssignment, StoreError> =
            Ok(DutyAssignment(7, setOf(0, 1), TIME_TO_LIVE_MILLIS))
        var renewalGate: CompletableDeferred<Unit>? = null
        var leaveGate: CompletableDeferred<Unit>? = null
        var leaveAnswer: Result<Unit, StoreError> = Ok(Unit)

        /** The generations sent with the renewals. */
        val renewals = ArrayList<Long>()
        var leaves = 0
        var reads = 0

        override suspend fun renew(lastGeneration: Long): Result<DutyAssignment, StoreError> {
            renewals += lastGeneration
            renewalGate?.await()
            return answer
        }

        override suspend fun leave(): Result<Unit, StoreError> {
            leaves++
            leaveGate?.await()
            return leaveAnswer
        }

        override suspend fun holders(): Result<Map<InstanceId, MemberAddress>, StoreError> {
            reads++
            return Ok(emptyMap())
        }
    }

    private val clock = SteppedClock()
    private val group = ScriptedGroup()
    private val epoch = StoreEpoch()
    private var recoveries = 0
    private val lease = DutyLease(
        group = group,
        epoch = epoch,
        clock = clock,
        log = RecordedLog().log,
        onMembers = {},
        isStoreUnreachableForAll = { true },
        onStoreRecovered = { recoveries++ }
    )

    private fun renew() = runBlocking { lease.renew() }

    private fun acquire() {
        renew()
        clock.nowMillis += TAKEOVER_DELAY_MILLIS
    }

    /** Runs [test] beside the renewals of the lease. */
    private fun whileRunning(test: suspend CoroutineScope.() -> Unit) = runBlocking {
        val renewing = launch { lease.run() }
        delay(ROUND_TRIP_MILLIS)
        test()
        renewing.cancelAndJoin()
    }

    @Nested
    inner class `At the loss of the path` {
        /** Guards against orders to replace sound engines, and against a list that nobody reads. */
        @Test
        fun `all duties end at once`() {
            acquire()
            expectThat(lease.placementToken()).isEqualTo(7)
            expectThat(lease.isReader).isTrue()
            lease.suspendDuties()
            expectThat(lease.placementToken()).isNull()
            expectThat(lease.isReader).isFalse()
        }

        /** Guards against a duty that is kept as if the store were unreachable for all. */
        @Test
        fun `a duty is not extended`() {
            acquire()
            lease.suspendDuties()
            group.answer = Err(StoreError.NoResponse("down"))
            clock.nowMillis += 2_600
            expectThat(lease.placementToken()).isNull()
        }

        /** Guards against peers that take the age of an old renewal for a fact about the store. */
        @Test
        fun `the age of the last renewal is unknown`() {
            acquire()
            lease.suspendDuties()
            expectThat(lease.renewalAgeMillis()).isNull()
        }

        /**
         * Guards against a duty that nobody performs until the lease ends, and against a member
         * that comes back while it reaches no server.
         */
        @Test
        fun `the group is left once and not joined`() = whileRunning {
            lease.suspendDuties()
            delay(INTERVAL_MILLIS)
            expectThat(group.leaves).isEqualTo(1)
            expectThat(group.renewals.size).isEqualTo(1)
        }

        /** Guards against an instance that knows no peer which could serve its requests. */
        @Test
        fun `the members are still read`() = whileRunning {
            lease.suspendDuties()
            val readsBefore = group.reads
            delay(INTERVAL_MILLIS)
            expectThat(group.reads).isGreaterThan(readsBefore)
        }

        /** Guards against a duty that a renewal in flight brings back. */
        @Test
        fun `the answer to a renewal in flight is not used and the group is left`() = runBlocking {
            val gate = CompletableDeferred<Unit>()
            group.renewalGate = gate
            val renewing = launch { lease.renew() }
            delay(ROUND_TRIP_MILLIS)
            lease.suspendDuties()
            gate.complete(Unit)
            renewing.join()
            clock.nowMillis += TAKEOVER_DELAY_MILLIS
            expectThat(lease.placementToken()).isNull()
            expectThat(lease.isReader).isFalse()
            expectThat(group.leaves).isEqualTo(1)
        }

        /** Guards against a second departure, which would end a membership of a later process. */
        @Test
        fun `a stop does not leave again`() = whileRunning {
            lease.suspendDuties()
            delay(ROUND_TRIP_MILLIS)
            lease.leave()
            delay(ROUND_TRIP_MILLIS)
            expectThat(group.leaves).isEqualTo(1)
        }
    }

    /** Guards against a duty that a renewal in flight brings back during a planned stop. */
    @Test
    fun `a stop ends the duty for a renewal in flight too`() = runBlocking {
        acquire()
        val gate = CompletableDeferred<Unit>()
        group.renewalGate = gate
        val renewing = launch { lease.renew() }
        delay(ROUND_TRIP_MILLIS)
        lease.leave()
        gate.complete(Unit)
        renewing.join()
        clock.nowMillis += TAKEOVER_DELAY_MILLIS
        expectThat(lease.placementToken()).isNull()
    }

    @Nested
    inner class `Once the path is back` {
        @Test
        fun `the instance joins at once as a new member`() = whileRunning {
            lease.suspendDuties()
            delay(ROUND_TRIP_MILLIS)
            group.answer = Ok(DutyAssignment(9, setOf(0), TIME_TO_LIVE_MILLIS))
            lease.resumeDuties()
            delay(ROUND_TRIP_MILLIS)
            expectThat(group.renewals.toList()).isEqualTo(listOf(0L, 0L))
            expectThat(lease.placementToken()).isNull()
            clock.nowMillis += TAKEOVER_DELAY_MILLIS
            expectThat(lease.placementToken()).isEqualTo(9)
        }

        /** Guards against a holder elsewhere that extends its duty beside the new one. */
        @Test
        fun `peers learn at once that the store answers`() {
            acquire()
            lease.suspendDuties()
            lease.resumeDuties()
            expectThat(recoveries).isEqualTo(0)
            renew()
            renew()
            expectThat(recoveries).isEqualTo(1)
        }

        /** Guards against orders and observations of before, which the term tells apart. */
        @Test
        fun `another term of the placement duty begins`() {
            acquire()
            val term = lease.placementTerm
            renew()
            expectThat(lease.placementTerm).isEqualTo(term)
            lease.suspendDuties()
            lease.resumeDuties()
            renew()
            expectThat(lease.placementTerm).isGreaterThan(term)
        }

        /**
         * Guards against a departure that delays the next membership, and against two holders if
         * the store executes it only then.
         */
        @Test
        fun `an unanswered departure delays only placement`() = whileRunning {
            group.answer = Ok(DutyAssignment(7, setOf(0, 1), 2 * TIME_TO_LIVE_MILLIS))
            group.leaveGate = CompletableDeferred()
            lease.suspendDuties()
            delay(ROUND_TRIP_MILLIS)
            lease.resumeDuties()
            delay(ROUND_TRIP_MILLIS)
            expectThat(group.renewals.size).isEqualTo(2)
            clock.nowMillis += 2_499
            expectThat(lease.placementToken()).isNull()
            clock.nowMillis += 1
            expectThat(lease.isReader).isTrue()
            expectThat(lease.placementToken()).isEqualTo(7)
        }

        /** Guards against the answer to a renewal of before, whose membership was given up. */
        @Test
        fun `the answer to an earlier renewal is not used`() = runBlocking {
            val gate = CompletableDeferred<Unit>()
            group.renewalGate = gate
            val renewing = launch { lease.renew() }
            delay(ROUND_TRIP_MILLIS)
            lease.suspendDuties()
            lease.resumeDuties()
            gate.complete(Unit)
            renewing.join()
            clock.nowMillis += TAKEOVER_DELAY_MILLIS
            expectThat(lease.placementToken()).isNull()
        }

        /** Guards against two holders if the store was restored meanwhile. */
        @Test
        fun `the leases of an earlier epoch are waited for`() {
            acquire()
            lease.suspendDuties()
            epoch.observe(2)
            lease.resumeDuties()
            val token = EpochNumber.of(epoch = 2, number = 5)
            group.answer = Ok(DutyAssignment(token, setOf(0), TIME_TO_LIVE_MILLIS))
            renew()
            clock.nowMillis += TAKEOVER_DELAY_MILLIS
            expectThat(lease.placementToken()).isNull()
            clock.nowMillis += TIME_TO_LIVE_MILLIS
            renew()
            expectThat(lease.placementToken()).isEqualTo(token)
        }
    }

    private companion object {
        const val TAKEOVER_DELAY_MILLIS = 200L
        const val TIME_TO_LIVE_MILLIS = 3_000L

        /** Longer than a call to [ScriptedGroup]. */
        const val ROUND_TRIP_MILLIS = 100L

        /** Longer than the interval between renewals. */
        const val INTERVAL_MILLIS = 1_300L
    }
}
