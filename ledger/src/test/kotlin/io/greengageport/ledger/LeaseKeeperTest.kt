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

class LeaseKeeperTest {
    private val time = VirtualTime(Random(SEED))
    private val log = InMemoryLog(time)
    private val a = keeper("a")
    private val b = keeper("b")

    private fun keeper(id: String): LeaseKeeper {
        val settings = LeaseSettings(forgetAfter = 1.minutes)
        val k = LeaseKeeper(log, InstanceId(id), time, Random(id.hashCode()), settings)
        Lane(time).scope.async { k.run() }
        return k
    }

    private fun acquire(k: LeaseKeeper) = time.run { k.acquire(NAME) }

    private fun hold(k: LeaseKeeper): Lease = acquire(k).value

    @Nested
    inner class Holding {
        @Test
        fun `a lease is valid for its ttl less the margin and passes on after ttl and margin`() {
            val lease = hold(a)
            expectThat(acquire(b).error).isA<LeaseError.Held>()
            time.advance(7_990)
            expectThat(lease.isValid()).isEqualTo(true)
            time.advance(20)
            expectThat(lease.isValid()).isEqualTo(false)
            expectThat(time.run { a.renew(lease) }).isEqualTo(Err(LeaseError.Lost))
            time.advance(4_100)
            expectThat(hold(b).token).isGreaterThan(lease.token)
        }

        @Test
        fun `a release passes the lease on at once and ends it for its holder`() {
            val lease = hold(a)
            time.run { a.release(lease) }
            expectThat(lease.isValid()).isEqualTo(false)
            expectThat(hold(b).isValid()).isEqualTo(true)
        }

        @Test
        fun `a renewal keeps contenders away and raises the token`() {
            val lease = hold(a)
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
        @Test
        fun `a lost acknowledgement is resolved by reading back`() {
            log.nextAppend = AppendFault.LOSE_ACKNOWLEDGEMENT
            expectThat(hold(a).isValid()).isEqualTo(true)
            log.nextAppend = AppendFault.DROP
            time.advance(20_000)
            expectThat(acquire(b)).isEqualTo(Err(LeaseError.LogUnavailable))
        }

        @Test
        fun `a renewal whose append failed leaves the lease as it was`() {
            val lease = hold(a)
            log.down = true
            expectThat(time.run { a.renew(lease) }).isEqualTo(Err(LeaseError.LogUnavailable))
            expectThat(lease.isValid()).isEqualTo(true)
        }

        @Test
        fun `an instance that reads a truncated stream waits until the lease is certain`() {
            val lease = hold(a)
            time.advance(3_000)
            log.truncate("leases", lease.token + 1)
            val c = keeper("c")
            expectThat(acquire(c)).isEqualTo(Err(LeaseError.Unsettled))
            time.advance(91_000)
            expectThat(hold(c).token).isGreaterThan(lease.token)
        }
    }

    private companion object {
        const val SEED = 3
        const val NAME = "placement"
    }
}
