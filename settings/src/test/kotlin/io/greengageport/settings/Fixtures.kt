package io.greengageport.settings

import io.greengageport.common.RankName
import io.greengageport.common.ServiceName
import io.greengageport.ports.LogRecord
import io.greengageport.testkit.ManualClock

/** Builders shared by the tests of this module. */
internal object Fixtures {
    val admin = Author("admin", KeyHash.of("admin"))
    val packer = Author("packer", KeyHash.of("packer"))

    fun rank(priority: Int, floor: Double = 0.1) = RankSettings(
        priority = priority,
        firstTokenMillis = 340,
        betweenTokensMillis = 57,
        deadlineMillis = 10_000,
        floorShare = floor
    )

    fun model(version: String = "v1") =
        ServiceSettings(model = ModelSettings(layers = 48, version = version))

    fun organisation(key: String, services: List<String>? = null, ranks: List<String>? = null) =
        OrganisationSettings(
            keyHashes = listOf(KeyHash.of(key)),
            services = services?.map(::ServiceName),
            ranks = ranks?.map(::RankName)
        )

    fun access(author: Author, vararg prefixes: String) =
        AccessSettings(listOf(author.keyHash), prefixes.map(::SettingsPath))

    fun change(
        id: String,
        path: String,
        base: Long = 0,
        value: SettingsDocument? = null,
        author: Author = admin,
        known: Long = 0
    ): Change {
        val p = SettingsPath(path)
        return Change(ChangeId(id), author, p, base, known, value?.let { mapOf(p to it) })
    }

    fun record(offset: Long, record: SettingsRecord) = record(offset, RecordCodec.encode(record))

    fun record(offset: Long, payload: ByteArray) =
        LogRecord(offset, ManualClock.START_WALL_MILLIS + offset, payload)

    /** Applies [records] after the offset of [start]; returns the state and the decisions. */
    fun fold(
        records: List<SettingsRecord>,
        start: SettingsState = SettingsState.EMPTY
    ): Pair<SettingsState, List<Decision>> {
        var state = start
        val decisions = records.map { r ->
            state.apply(record(state.lastOffset + 1, r)).also { state = it.state }.decision
        }
        return state to decisions
    }

    /** A state with [count] organisations in 50 teams, three ranks and eleven services. */
    fun stateWith(count: Int): SettingsState {
        val documents = mutableMapOf<SettingsPath, SettingsDocument>()
        listOf("urgent", "middle", "lowest").forEachIndexed { i, r ->
            documents[SettingsPath.rank(r)] = rank(i)
        }
        repeat(11) { documents[SettingsPath.service("models", "model-$it")] = model() }
        repeat(count) {
            val o = organisation("key-$it", listOf("model-${it % 11}"), listOf("middle", "lowest"))
            documents[SettingsPath.organisation("team-${it % 50}", "organisation-$it")] =
                o.copy(keyHashes = o.keyHashes + KeyHash.of("second-$it"), tokensPerSecond = 5_000)
        }
        var state = SettingsState.EMPTY
        documents.entries.forEachIndexed { i, (path, d) ->
            val value = mapOf(path to d)
            val c = Change(ChangeId("load-$i"), admin, path, 0, state.lastOffset, value)
            val applied = state.apply(record(state.lastOffset + 1, c))
            check(applied.decision is Decision.Accepted) { applied.decision.toString() }
            state = applied.state
        }
        return state
    }
}
