package io.greengageport.settings

/** Checks of one document on its own; references to others are checked by the tree. */
internal class DocumentChecks(private val path: SettingsPath) {
    private val problems = mutableListOf<Problem>()

    fun check(document: SettingsDocument): List<Problem> {
        when (document) {
            is RankSettings -> rank(document)
            is ServiceSettings -> service(document)
            is OrganisationSettings -> organisation(document)
            is AccessSettings -> access(document)
        }
        return problems
    }

    private fun rank(r: RankSettings) {
        range("priority", r.priority, 0..MAX_PRIORITY)
        range("firstTokenMillis", r.firstTokenMillis, 1..DAY_MILLIS)
        range("betweenTokensMillis", r.betweenTokensMillis, 1..DAY_MILLIS)
        range("deadlineMillis", r.deadlineMillis, 1..DAY_MILLIS)
        range("floorShare", r.floorShare, 0.0..1.0)
        range("weight", r.weight, WEIGHTS)
        range("retryReserveShare", r.retryReserveShare, 0.0..1.0)
    }

    private fun service(s: ServiceSettings) {
        if ((s.model == null) == (s.plain == null)) {
            val found = if (s.model == null) "neither model nor plain" else "both model and plain"
            add(ProblemKind.OUT_OF_RANGE, "", found, "exactly one of model and plain")
        }
        s.model?.let(::model)
        s.plain?.let(::plain)
        range("timeouts.connectMillis", s.timeouts.connectMillis, 1..DAY_MILLIS)
        range("timeouts.silenceMillis", s.timeouts.silenceMillis, 1..DAY_MILLIS)
        range("timeouts.answerMillis", s.timeouts.answerMillis, 1..DAY_MILLIS)
        range("retry.maxAttempts", s.retry.maxAttempts, 1..MAX_ATTEMPTS)
        range("retry.baseDelayMillis", s.retry.baseDelayMillis, 1..HOUR_MILLIS)
        range("retry.maxDelayMillis", s.retry.maxDelayMillis, s.retry.baseDelayMillis..HOUR_MILLIS)
    }

    private fun model(m: ModelSettings) {
        range("model.layers", m.layers, 1..MAX_LAYERS)
        label("model.version", m.version)
        labels("model.versions", m.versions)
        labels("model.adapters", m.adapters)
        val p = m.placement
        range("model.placement.minCopies", p.minCopies, 1..PlacementSettings.MAX_COPIES)
        range(
            "model.placement.maxCopies",
            p.maxCopies,
            p.minCopies..PlacementSettings.MAX_COPIES
        )
        range("model.placement.maxConcurrentMoves", p.maxConcurrentMoves, 1..MAX_MOVES)
    }

    private fun plain(p: PlainSettings) {
        size("plain.nonIdempotent", p.nonIdempotent.size, 0..MAX_ITEMS)
        p.nonIdempotent.forEachIndexed { i, c ->
            if (!METHOD.matches(c.method)) {
                val field = "plain.nonIdempotent[$i].method"
                add(ProblemKind.OUT_OF_RANGE, field, quoted(c.method), "an HTTP method or '*'")
            }
            val segments = c.path.split('/')
            if (!c.path.startsWith("/") || segments.dropLast(1).contains("**")) {
                val field = "plain.nonIdempotent[$i].path"
                val allowed = "a path that starts with '/', with '**' only at its end"
                add(ProblemKind.OUT_OF_RANGE, field, quoted(c.path), allowed)
            }
        }
    }

    private fun organisation(o: OrganisationSettings) {
        keys(o.keyHashes)
        range("weight", o.weight, WEIGHTS)
        o.tokensPerSecond?.let { range("tokensPerSecond", it, 1L..MAX_TOKENS_PER_SECOND) }
        o.concurrentRequests?.let { range("concurrentRequests", it, 1..MAX_CONCURRENT) }
        o.services?.let { distinct("services", it.map { s -> s.value }) }
        o.ranks?.let { distinct("ranks", it.map { r -> r.value }) }
    }

    private fun access(a: AccessSettings) {
        keys(a.keyHashes)
        distinct("prefixes", a.prefixes.map { it.value })
        a.prefixes.forEachIndexed { i, p ->
            if (!p.isValid) {
                val allowed = "a path below ${kindNames()}, or '' for the whole tree"
                add(ProblemKind.OUT_OF_RANGE, "prefixes[$i]", quoted(p.value), allowed)
            }
        }
    }

    private fun keys(hashes: List<KeyHash>) {
        size("keyHashes", hashes.size, 1..MAX_KEYS)
        distinct("keyHashes", hashes.map { it.value })
        hashes.forEachIndexed { i, h ->
            if (!h.isValid) {
                val allowed = "a SHA-256 hash as 64 lower-case hexadecimal digits"
                add(ProblemKind.OUT_OF_RANGE, "keyHashes[$i]", quoted(h.value), allowed)
            }
        }
    }

    private fun labels(field: String, values: List<String>) {
        distinct(field, values)
        values.forEachIndexed { i, v -> label("$field[$i]", v) }
    }

    private fun label(field: String, value: String) {
        if (!LABEL.matches(value)) {
            add(ProblemKind.OUT_OF_RANGE, field, quoted(value), "1 to 128 of A-Z a-z 0-9 . _ : -")
        }
    }

    private fun distinct(field: String, values: List<String>) {
        size(field, values.size, 0..MAX_ITEMS)
        values.groupingBy { it }.eachCount().filterValues { it > 1 }.forEach { (v, n) ->
            add(ProblemKind.DUPLICATE, field, "${quoted(v)} $n times", "each value once")
        }
    }

    private fun size(field: String, size: Int, allowed: IntRange) {
        if (size !in allowed) {
            val text = "${allowed.first} to ${allowed.last} items"
            add(ProblemKind.OUT_OF_RANGE, field, "$size items", text)
        }
    }

    private fun <T : Comparable<T>> range(field: String, value: T, allowed: ClosedRange<T>) {
        if (value !in allowed) {
            val text = "${allowed.start} to ${allowed.endInclusive}"
            add(ProblemKind.OUT_OF_RANGE, field, value.toString(), text)
        }
    }

    private fun add(kind: ProblemKind, field: String, found: String, allowed: String) {
        problems += Problem(kind, path, field, found, allowed)
    }

    private companion object {
        const val DAY_MILLIS = 86_400_000
        const val HOUR_MILLIS = 3_600_000
        const val MAX_PRIORITY = 100
        const val MAX_ATTEMPTS = 10
        const val MAX_LAYERS = 10_000
        const val MAX_MOVES = 1_000
        const val MAX_CONCURRENT = 1_000_000
        const val MAX_TOKENS_PER_SECOND = 1_000_000_000L

        // Bounds the size of a document and thereby of a snapshot.
        const val MAX_ITEMS = 256
        const val MAX_KEYS = 16
        val WEIGHTS = 0.001..1_000_000.0
        val METHOD = Regex("[A-Z]{1,16}|\\*")
        val LABEL = Regex("[A-Za-z0-9._:-]{1,128}")
    }
}

private const val MAX_QUOTED = 80

internal fun quoted(value: String): String = "'${value.take(MAX_QUOTED)}'"

internal fun kindNames(): String = SettingsKind.entries.joinToString { it.segment }
