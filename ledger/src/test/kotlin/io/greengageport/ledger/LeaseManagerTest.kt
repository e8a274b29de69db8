package io.greengageport.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.greengageport.common.InstanceId
import io.greengageport.testkit.AppendFault
import io.greengageport.testkit.InMemoryLog
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.async
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class LeaseManagerTest {
    private val time = VirtualTime(Random(SEED))
    private val log = InMemoryLog(time)
    private val a = startManager("a")
    private val b = startManager("b")

    private fun startManager(id: String): LeaseManager {
        val settings = LeaseSettings(forgetAfter = 1.minutes)
        val manager = LeaseManager(log, InstanceId(id), time, Random(id.hashCode()), settings)
        SimulatedProcess(time).scope.async { manager.run() }
        return manager
    }

    private fun acquire(manager: LeaseManager) = time.run { manager.acquire(NAME) }

    private fun acquireOrThrow(manager: LeaseManager): Lease = acquire(manager).value

    @Nested
    inner class Holding {
        /** Guards against two holders around the end of a lease. */
        @Test
        fun `a lease is valid for ttl minus margin and can be acquired after ttl plus margin`() {
            val lease = acquireOrThrow(a)
            expectThat(acquire(b).error).isA<LeaseError.Held>()
            time.advance(7_990)
            expectThat(lease.isValid()).isEqualTo(true)
            time.advance(20)
            expectThat(lease.isValid()).isEqualTo(false)
            expectThat(time.run { a.renew(lease) }).isEqualTo(Err(LeaseError.Lost))
            time.advance(4_100)
            expectThat(acquireOrThrow(b).token).isGreaterThan(lease.token)
        }

        /** Guards against a successor that waits for the end of a lease that was given up. */
        @Test
        fun `a released lease is invalid for its holder and can be acquired at once`() {
            val lease = acquireOrThrow(a)
            time.run { a.release(lease) }
            expectThat(lease.isValid()).isEqualTo(false)
            expectThat(acquireOrThrow(b).isValid()).isEqualTo(true)
        }

        /** Guards against a renewed lease that others can acquire, and against a repeated token. */
        @Test
        fun `a renewed lease stays held and gets a higher token`() {
            val lease = acquireOrThrow(a)
            val first = lease.token
            repeat(4) {
                time.advance(5_000)
                expectThat(time.run { a.renew(lease) }).isEqualTo(Ok(Unit))
            }
            expectThat(lease.token).isGreaterThan(first)
            expectThat(acquire(b).error).isA<LeaseError.Held>()
        }
    }

    @Nested
    inner class Faults {
        /** Guards against a held lease that its holder does not know of, and the reverse. */
        @Test
        fun `an append whose acknowledgement was lost is resolved by reading back`() {
            log.nextAppendFault = AppendFault.LOSE_ACKNOWLEDGEMENT
            expectThat(acquireOrThrow(a).isValid()).isEqualTo(true)
            log.nextAppendFault = AppendFault.DROP
            time.advance(20_000)
            expectThat(acquire(b)).isEqualTo(Err(LeaseError.LogUnavailable))
        }

        /** Guards against a holder that stops its work at the first failed renewal. */
        @Test
        fun `a renewal whose append fails leaves the lease valid`() {
            val lease = acquireOrThrow(a)
            log.isDown = true
            expectThat(time.run { a.renew(lease) }).isEqualTo(Err(LeaseError.LogUnavailable))
            expectThat(lease.isValid()).isEqualTo(true)
        }

        /** Guards against a second holder after the record of the first was truncated. */
        @Test
        fun `after a truncation an instance cannot acquire a lease until its holder is certain`() {
            val lease = acquireOrThrow(a)
            time.advance(3_000)
            log.truncate("leases", lease.token + 1)
            val c = startManager("c")
            expectThat(acquire(c)).isEqualTo(Err(LeaseError.Unconfirmed))
            time.advance(91_000)
            expectThat(acquireOrThrow(c).token).isGreaterThan(lease.token)
        }
    }

    private companion object {
        const val SEED = 3
        const val NAME = "placement"
    }
}
