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
        /** Guards against lost updates when two operators change the same path. */
        @Test
        fun `the second of two changes with the same base version conflicts with the first`() {
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

        /** Guards against a subtree change that silently overwrites a change below it. */
        @Test
        fun `changes above and below a path update its version`() {
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

        /** Guards against accepting a change based on a version before a removal. */
        @Test
        fun `a removed path keeps its version after its removal is evicted`() {
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

    /**
     * Guards against a failure of the set of removed paths if its only element is removed and added
     * again within one change.
     */
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
        /** Guards against a delayed copy of a withdrawn change taking effect. */
        @Test
        fun `a withdrawn change is rejected and a decided change cannot be withdrawn`() {
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

        /** Guards against accepting a delayed change after its withdrawal was evicted. */
        @Test
        fun `a change older than the stored ids is rejected`() {
            val withdrawals = (0..ChangeIds.MAX_IDS).map { Withdraw(ChangeId("w$it")) }
            val late = change("w0", "ranks/urgent", 0, rank(0), known = 0)
            val (state, decisions) = fold(withdrawals + late)
            expectThat(decisions.last())
                .isEqualTo(Decision.Rejected(ChangeId("w0"), Rejection.TooOld(0, 1)))
            expectThat(state.ids.fates).hasSize(ChangeIds.MAX_IDS)
        }

        /** Guards against an exception in all readers caused by a malformed record. */
        @Test
        fun `a malformed record has no effect`() {
            val payloads = listOf(byteArrayOf(), byteArrayOf(1, 2), ByteArray(200_000)) +
                RecordCodec.encode(change("a", "ranks/urgent", 0, rank(0))).copyOf(40)
            var state = SettingsState.EMPTY
            val decisions = payloads.map { p ->
                state.apply(record(state.lastOffset + 1, p)).also { state = it.state }.decision
            }
            expectThat(decisions).map { it is Decision.Malformed }.isEqualTo(payloads.map { true })
            expectThat(state.lastOffset).isEqualTo(4)
        }
    }

    @Nested
    inner class Grants {
        /** Guards against a team writing outside its granted paths. */
        @Test
        fun `a change outside the paths granted to the key is rejected`() {
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

        /** Guards against an access configuration that nobody can change. */
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
        /** Guards against accepting changes that leave dangling references. */
        @Test
        fun `a change that invalidates another part of the tree is rejected`() {
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

        /** Guards against index entries of replaced documents that are not removed. */
        @Test
        fun `a view finds only current documents`() {
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

        /** Guards against retrying a non-idempotent call whose path is encoded differently. */
        @Test
        fun `a non-idempotent path is recognised in all equivalent encodings`() {
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
        /** Guards against snapshots that depend on how a reader reached its state. */
        @Test
        fun `a state decoded from a snapshot applies records like the original`() {
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
