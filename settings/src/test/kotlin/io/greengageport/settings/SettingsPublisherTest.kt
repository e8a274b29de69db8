package io.greengageport.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.greengageport.ports.LogError
import io.greengageport.ports.LogService
import io.greengageport.settings.Fixtures.admin
import io.greengageport.settings.Fixtures.rank
import io.greengageport.testkit.AppendFault
import io.greengageport.testkit.InMemoryLog
import io.greengageport.testkit.ManualClock
import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class SettingsPublisherTest {
    private val clock = ManualClock()
    private val log = InMemoryLog(clock)
    private val path = SettingsPath.rank("urgent")
    private val id = ChangeId("c")
    private var onPause = {}

    private fun publisher(log: LogService = this.log) = SettingsPublisher(
        log,
        { SettingsState.EMPTY },
        clock,
        random = Random(1),
        pause = {
            clock.advance(it.inWholeMilliseconds)
            onPause()
        }
    )

    private fun publish(log: LogService = this.log): PublishOutcome = runBlocking {
        publisher(log).publish(admin, path, mapOf(path to rank(0)), 0, id)
    }

    /** Guards against appending a change twice after its acknowledgement was lost. */
    @Test
    fun `a lost acknowledgement is resolved by reading back, without a second append`() {
        log.nextAppendFault = AppendFault.LOSE_ACKNOWLEDGEMENT
        expectThat(publish()).isEqualTo(PublishOutcome.Accepted(id, 1))
        expectThat(log.appendCount).isEqualTo(1)
    }

    /** Guards against a delayed change that takes effect after it was reported as failed. */
    @Test
    fun `a missing change is withdrawn and stays rejected if it arrives later`() {
        log.nextAppendFault = AppendFault.DROP
        val outcome = publish()
        expectThat(outcome).isEqualTo(PublishOutcome.Rejected(id, Rejection.Withdrawn(1)))
        val late = Fixtures.change("c", path.value, 0, rank(0))
        log.store("settings", RecordCodec.encode(late))
        runBlocking {
            expectThat(publisher().fate(id)).isEqualTo(FateReport.Decided(Fate.Withdrawn(1)))
        }
    }

    /** Guards against reporting success or failure while the outcome is unknown. */
    @Test
    fun `the outcome is undecided while the log is down, decided later`() = runBlocking<Unit> {
        val failingLog = object : LogService by log {
            override suspend fun append(
                stream: String,
                payload: ByteArray
            ): Result<Long, LogError> {
                log.isDown = true
                return Err(LogError.Uncertain("connection closed"))
            }
        }
        val outcome = publish(failingLog)
        expectThat(outcome).isA<PublishOutcome.Undecided>().get { id }.isEqualTo(id)
        expectThat(publisher().fate(id)).isA<FateReport.LogUnavailable>()
        log.isDown = false
        expectThat(publisher().fate(id)).isEqualTo(FateReport.NotSeen(0, 0))
        expectThat(publisher().withdraw(outcome as PublishOutcome.Undecided))
            .isEqualTo(PublishOutcome.Rejected(id, Rejection.Withdrawn(1)))
    }

    /** Guards against reporting a rejection after the earlier fate of the id was evicted. */
    @Test
    fun `an undecided change older than the stored ids stays undecided`() = runBlocking<Unit> {
        repeat(ChangeIds.MAX_IDS + 1) {
            log.store("settings", RecordCodec.encode(Withdraw(ChangeId("w$it"))))
        }
        val old = PublishOutcome.Undecided(ChangeId("w0"), 0, "")
        expectThat(publisher().withdraw(old)).isA<PublishOutcome.Undecided>()
            .get { reason }.isEqualTo("ids of that age are forgotten")
    }

    /** Guards against reporting success for the removal of a mistyped path. */
    @Test
    fun `a removal of a path without documents is rejected and not appended`() = runBlocking<Unit> {
        val removal = publisher().publish(admin, path, null, 0, id)
        val reason = Rejection.NothingToRemove(path)
        expectThat(removal).isEqualTo(PublishOutcome.Rejected(id, reason))
        expectThat(publisher().publish(admin, path, emptyMap(), 0, id)).isEqualTo(removal)
        expectThat(log.appendCount).isEqualTo(0)
        publish()
        expectThat(publisher().publish(admin, path, null, 1, ChangeId("d")))
            .isEqualTo(PublishOutcome.Accepted(ChangeId("d"), 2))
    }

    /** Guards against ambiguous outcomes for changes that are never appended. */
    @Test
    fun `a change that is too large or invalid or meets a log outage is not appended`() {
        log.isDown = true
        val unavailable = NotAppendedReason.LogUnavailable("Unavailable(reason=log is down)")
        expectThat(publish()).isEqualTo(PublishOutcome.NotAppended(id, unavailable))
        log.isDown = false
        val many = (1..600).associate {
            SettingsPath.organisation("t", "o$it") to Fixtures.organisation("k$it")
        }
        val root = SettingsPath.ROOT
        runBlocking {
            expectThat(publisher().publish(admin, root, many, 0))
                .isA<PublishOutcome.NotAppended>()
                .get { reason }.isA<NotAppendedReason.TooLarge>()
            expectThat(publisher().publish(admin, path, mapOf(path to rank(-1)), 0))
                .isA<PublishOutcome.Rejected>()
                .get { reason }.isA<Rejection.Invalid>()
        }
        expectThat(log.appendCount).isEqualTo(0)
    }
}
