package io.greengageport.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.Member
import io.greengageport.common.Members
import io.greengageport.common.PeerCalls
import io.greengageport.common.PeerError
import io.greengageport.common.PeerHandlers
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.common.ServiceName
import io.greengageport.routing.Fingerprint
import io.greengageport.routing.MarkedReservations
import io.greengageport.routing.ReservationReply
import io.greengageport.routing.ReservationRequest
import io.greengageport.routing.SuspectMark
import io.greengageport.routing.SuspectRequests
import io.greengageport.routing.SuspectState
import io.greengageport.routing.SuspectVerdict
import io.greengageport.testkit.ManualClock
import kotlin.time.Duration
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Three instances that call each other's handlers directly. */
class SuspectExchangeTest {
    private val clock = ManualClock()
    private val nodes = listOf("entry-1", "entry-2", "entry-3").map { Node(InstanceId(it)) }
    private val crashing = Fingerprint("bad")
    private val service = ServiceName("model")

    @Nested
    inner class Blocks {
        /** Guards against a third crash by a request that is sent again before gossip arrives. */
        @Test
        fun `a block is known to all instances when the announcement returns`() =
            runBlocking<Unit> {
                nodes.first().exchange.announceBlock(blocked())
                expectThat(nodes.drop(1).map { it.suspects.verdict(crashing) })
                    .isEqualTo(List(2) { SuspectVerdict.BLOCKED })
            }

        @Test
        fun `an unreachable instance does not prevent the others from receiving a block`() =
            runBlocking<Unit> {
                nodes[1].isReachable = false
                nodes.first().exchange.announceBlock(blocked())
                expectThat(nodes.drop(1).map { it.suspects.verdict(crashing) })
                    .isEqualTo(listOf(SuspectVerdict.CLEAR, SuspectVerdict.BLOCKED))
            }

        private fun blocked(): SuspectState {
            val marks = listOf("a", "b").map { SuspectMark(RunnerId(it), "", clock.wallMillis()) }
            return SuspectState(crashing, marks)
        }
    }

    @Nested
    inner class Reservations {
        /** Guards against a harmless request that is marked twice beside a crashing one. */
        @Test
        fun `marked requests of two instances do not share a runner`() = runBlocking<Unit> {
            val replies = listOf(
                reserve(0, "1", "bad", "a", "b"),
                reserve(1, "2", "good", "b", "c"),
                reserve(1, "2", "good", "c")
            )
            expectThat(replies).isEqualTo(listOf(granted, busy("a", "b"), granted))
        }

        /** Guards against copies of a request that each crash a runner at the same time. */
        @Test
        fun `copies of one request run one at a time`() = runBlocking<Unit> {
            val replies = mutableListOf(reserve(0, "1", "bad", "a"), reserve(1, "2", "bad", "b"))
            nodes[0].exchange.release(service, RequestId("1"))
            replies += reserve(1, "2", "bad", "b")
            expectThat(replies).isEqualTo(mutableListOf(granted, busy("a"), granted))
        }

        @Test
        fun `reservations end with their instance or after their lifetime`() = runBlocking<Unit> {
            reserve(0, "1", "bad", "a")
            reserve(1, "2", "good", "b")
            val before = reserve(2, "3", "new", "a", "b")
            nodes[0].isLive = false
            val afterLeaving = reserve(2, "3", "new", "a", "b")
            clock.advance(MarkedReservations.LIFETIME_MILLIS)
            expectThat(listOf(before, afterLeaving, reserve(2, "3", "new", "a", "b")))
                .isEqualTo(listOf(busy("a", "b"), busy("b"), granted))
        }

        @Test
        fun `reserve returns null if the owner does not answer`() = runBlocking<Unit> {
            nodes.forEach { it.isReachable = false }
            val other = nodes.first { it !== owner() }
            val reservation = ReservationRequest(RequestId("1"), crashing, setOf(RunnerId("a")))
            expectThat(other.exchange.reserve(service, reservation)).isNull()
        }

        private val granted = ReservationReply(granted = true)

        private fun busy(vararg runners: String) =
            ReservationReply(granted = false, busy = runners.map(::RunnerId).toSet())

        private suspend fun reserve(
            node: Int,
            id: String,
            fingerprint: String,
            vararg runners: String
        ): ReservationReply? = nodes[node].exchange.reserve(
            service,
            ReservationRequest(
                RequestId(id),
                Fingerprint(fingerprint),
                runners.map(::RunnerId).toSet()
            )
        )

        /** The owner of the reservations: the only node that can reserve without a call. */
        private suspend fun owner(): Node = nodes.first {
            val reservation = ReservationRequest(RequestId("probe"), Fingerprint("p"), emptySet())
            it.exchange.reserve(service, reservation) != null
        }
    }

    private inner class Node(override val self: InstanceId) :
        Members,
        PeerCalls,
        PeerHandlers {
        private val handlers = HashMap<String, suspend (InstanceId, ByteArray) -> ByteArray>()
        var isReachable = true
        var isLive = true
        val suspects = SuspectRequests(clock)
        val exchange =
            SuspectExchange(this, this, this, suspects, MarkedReservations(clock))

        init {
            exchange.start()
        }

        override fun live(): List<Member> =
            nodes.filter { it.isLive }.map { Member(it.self, "", DataCentre("dc1")) }

        override suspend fun call(
            peer: InstanceId,
            channel: String,
            payload: ByteArray,
            timeout: Duration
        ): Result<ByteArray, PeerError> {
            delay(1)
            val node = nodes.first { it.self == peer }
            if (!node.isReachable) return Err(PeerError.Unreachable(peer))
            return Ok(node.handlers.getValue(channel)(self, payload))
        }

        override fun handle(
            channel: String,
            handler: suspend (from: InstanceId, payload: ByteArray) -> ByteArray
        ) {
            handlers[channel] = handler
        }
    }
}
