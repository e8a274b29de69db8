package io.greengageport.settings

import io.greengageport.settings.Fixtures.access
import io.greengageport.settings.Fixtures.admin
import io.greengageport.settings.Fixtures.change
import io.greengageport.settings.Fixtures.fold
import io.greengageport.settings.Fixtures.model
import io.greengageport.settings.Fixtures.organisation
import io.greengageport.settings.Fixtures.packer
import io.greengageport.settings.Fixtures.rank
import io.greengageport.settings.Fixtures.record
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.map

class SettingsStateTest {
    @Nested
    inner class Races {
        /** Guards against two operators overwriting each other unnoticed. */
        @Test
        fun `of two changes from one base, the first wins and the second learns the winner`() {
            val (state, decisions) = fold(
                listOf(
                    change("a", "ranks/urgent", 0, rank(0)),
                    change("b", "ranks/urgent", 0, rank(1), packer)
                )
            )
            val winner = Winner(ChangeId("a"), "admin", SettingsPath("ranks/urgent"))
            val reason = Rejection.Conflict(SettingsPath("ranks/urgent"), 0, 1, winner)
            expectThat(decisions).isEqualTo(
                listOf(
                    Decision.Accepted(ChangeId("a"), 1),
                    Decision.Rejected(ChangeId("b"), reason)
                )
            )
            expectThat(state.version).isEqualTo(1)
        }

        /** Guards against a change of a subtree that silently overwrites one below it. */
        @Test
        fun `changes above and below a path count as changes of it`() {
            val (state, _) = fold(
                listOf(
                    change("a", "services/t/one", 0, model()),
                    change("b", "services/t", 1, null),
                    change("c", "services/t/two", 2, model())
                )
            )
            val paths = listOf("services/t/one", "services/t/two", "services/t", "services", "")
            expectThat(paths.map { state.pathVersion(SettingsPath(it)) })
                .isEqualTo(listOf(2, 3, 3, 3, 3))
        }

        /** Guards against a value based on the time before a removal being accepted. */
        @Test
        fun `a removed path keeps its version, also after its removal is forgotten`() {
            val start = listOf(
                change("a", "ranks/urgent", 0, rank(0)),
                change("b", "ranks/urgent", 1, null)
            )
            val removals = (1..PathVersions.MAX_REMOVED).map { change("r$it", "ranks/r$it") }
            val (state, _) = fold(start + removals)
            expectThat(state.versions.removed).hasSize(PathVersions.MAX_REMOVED)
            expectThat(state.pathVersion(SettingsPath("ranks/urgent"))).isEqualTo(2)
        }
    }

    /** Guards against a set that fails when its only element is removed and added at once. */
    @Test
    fun `a path can be removed twice`() {
        val (state, decisions) = fold(
            listOf(change("a", "ranks/urgent"), change("b", "ranks/urgent", 1))
        )
        expectThat(decisions.last()).isEqualTo(Decision.Accepted(ChangeId("b"), 2))
        expectThat(state.versions.removed).hasSize(1)
    }

    @Nested
    inner class Ids {
        /** Guards against a late copy of a withdrawn change taking effect. */
        @Test
        fun `a withdrawn change is rejected for good, a decided one stays decided`() {
            val (state, decisions) = fold(
                listOf(
                    Withdraw(ChangeId("a")),
                    change("a", "ranks/urgent", 0, rank(0)),
                    change("b", "ranks/urgent", 0, rank(0)),
                    Withdraw(ChangeId("b")),
                    change("b", "ranks/urgent", 3, null)
                )
            )
            expectThat(decisions).isEqualTo(
                listOf(
                    Decision.Withdrawn(ChangeId("a")),
                    Decision.Rejected(ChangeId("a"), Rejection.Withdrawn(1)),
                    Decision.Accepted(ChangeId("b"), 3),
                    Decision.WithdrawnTooLate(ChangeId("b")),
                    Decision.Rejected(ChangeId("b"), Rejection.Duplicate(3))
                )
            )
            expectThat(state.fate(ChangeId("b"))).isEqualTo(Fate.Accepted(3))
        }

        /** Guards against forgetting a withdrawal and then accepting the late change. */
        @Test
        fun `a change older than the remembered ids is rejected`() {
            val withdrawals = (0..ChangeIds.MAX_IDS).map { Withdraw(ChangeId("w$it")) }
            val late = change("w0", "ranks/urgent", 0, rank(0), known = 0)
            val (state, decisions) = fold(withdrawals + late)
            expectThat(decisions.last())
                .isEqualTo(Decision.Rejected(ChangeId("w0"), Rejection.TooOld(0, 1)))
            expectThat(state.ids.fates).hasSize(ChangeIds.MAX_IDS)
        }

        /** Guards against a record that stops every reader. */
        @Test
        fun `a malformed record has no effect`() {
            val payloads = listOf(byteArrayOf(), byteArrayOf(1, 2), ByteArray(200_000)) +
                RecordCodec.encode(change("a", "ranks/urgent", 0, rank(0))).copyOf(40)
            var state = SettingsState.EMPTY
            val decisions = payloads.map { p ->
                state.apply(record(state.through + 1, p)).also { state = it.state }.decision
            }
            expectThat(decisions).map { it is Decision.Malformed }.isEqualTo(payloads.map { true })
            expectThat(state.through).isEqualTo(4)
        }
    }

    @Nested
    inner class Grants {
        /** Guards against a team that writes outside its own subtree. */
        @Test
        fun `an author writes only what is granted to the key`() {
            val all = access(admin, "")
            val own = access(packer, "services/packing")
            val (_, decisions) = fold(
                listOf(
                    change("a", "access/ops", 0, all),
                    change("b", "access/packing", 0, own),
                    change("c", "services/packing/sheets", 0, model(), packer),
                    change("d", "services/packing-two/x", 0, model(), packer),
                    change("e", "services", 3, null, packer),
                    change("f", "access/packing", 2, access(packer, ""), packer)
                )
            )
            expectThat(decisions.map { (it as? Decision.Rejected)?.reason }).isEqualTo(
                listOf(null, null, null) +
                    listOf("services/packing-two/x", "services", "access/packing")
                        .map { Rejection.NotGranted("packer", SettingsPath(it)) }
            )
        }

        /** Guards against locking everyone out for good. */
        @Test
        fun `a first access document without an administrator is rejected`() {
            val (_, decisions) = fold(listOf(change("a", "access/t", 0, access(packer, "ranks"))))
            expectThat(decisions.single()).isA<Decision.Rejected>()
                .get { (reason as Rejection.Invalid).problems.map { it.kind } }
                .isEqualTo(listOf(ProblemKind.NO_ADMINISTRATOR))
        }
    }

    @Nested
    inner class Validity {
        /** Guards against accepted changes that leave references without target. */
        @Test
        fun `a change that invalidates the tree elsewhere is rejected`() {
            val (_, decisions) = fold(
                listOf(
                    change("a", "services/t/sheets", 0, model()),
                    change("b", "ranks/urgent", 0, rank(0, floor = 0.7)),
                    change("c", "organisations/t/o", 0, organisation("k", listOf("sheets"))),
                    change("d", "services/t/sheets", 1, null),
                    change("e", "ranks/middle", 0, rank(0, floor = 0.4)),
                    change("f", "services/other/sheets", 0, model()),
                    change("g", "organisations/u/p", 0, organisation("k", null, listOf("none")))
                )
            )
            val problems = decisions.map { d ->
                ((d as? Decision.Rejected)?.reason as? Rejection.Invalid)?.problems?.map { it.kind }
            }
            expectThat(problems).isEqualTo(
                listOf(
                    null,
                    null,
                    null,
                    listOf(ProblemKind.DANGLING_REFERENCE),
                    listOf(ProblemKind.FLOORS_EXCEED_CAPACITY, ProblemKind.DUPLICATE),
                    listOf(ProblemKind.DUPLICATE),
                    listOf(ProblemKind.DUPLICATE, ProblemKind.DANGLING_REFERENCE)
                )
            )
        }

        /** Guards against indexes that keep what a replacement removed. */
        @Test
        fun `a view finds what is in force and nothing else`() {
            val (state, _) = fold(
                listOf(
                    change("a", "organisations/t/o", 0, organisation("old")),
                    change("b", "organisations/t/o", 1, organisation("new")),
                    change("c", "ranks/lowest", 0, rank(2)),
                    change("d", "ranks/urgent", 0, rank(0))
                )
            )
            val view = SettingsView(state)
            expectThat(view.organisationByKey(KeyHash.of("old"))).isNull()
            expectThat(view.organisationByKey(KeyHash.of("new"))?.name?.value).isEqualTo("o")
            expectThat(view.ranks.map { it.name.value }).isEqualTo(listOf("urgent", "lowest"))
            expectThat(view.history(SettingsPath("organisations")).map { it.version })
                .isEqualTo(listOf(1, 2))
        }

        /** Guards against a path spelled otherwise that makes a call repeatable. */
        @Test
        fun `a non-idempotent path is recognised in every spelling`() {
            val plain = PlainSettings(listOf(CallPattern("POST", "/orders/**")))
            val paths = listOf("/orders", "/orders/", "//orders?x=1", "/%6frders/7", "/a/../orders")
            val odd = listOf("/orders/%zz", "/Orders", "/./orders", "/%2Forders")
            expectThat((paths + odd).filterNot { plain.isNonIdempotent("post", it) })
                .isEqualTo(emptyList())
            expectThat(plain.isNonIdempotent("POST", "/list")).isEqualTo(false)
            expectThat(plain.isNonIdempotent("GET", "/orders")).isEqualTo(false)
        }
    }

    @Nested
    inner class Snapshots {
        /** Guards against snapshots that depend on how a reader came to its state. */
        @Test
        fun `a state read from a snapshot folds on like the original`() {
            val (state, _) = fold(
                (1..40).map { change("c$it", "ranks/r${it % 7}", 0, rank(it % 7, 0.0)) } +
                    change("x", "ranks/r3", 3, null) + Withdraw(ChangeId("w"))
            )
            val copy = checkNotNull(Snapshot.decode(Snapshot.encode(state)))
            val more = (50..60).map { change("c$it", "ranks/s$it", 0, rank(it, 0.0)) }
            val bytes = listOf(state, copy).map { Snapshot.encode(fold(more, it).first) }
            expectThat(bytes[0].contentEquals(bytes[1])).isTrue()
        }
    }
}
