package io.greengageport.settings

/**
 * Validates the fields of one document.
 *
 * References between documents are checked by [TreeEditor].
 */
internal class DocumentChecker(private val path: SettingsPath) {
    private val problems = mutableListOf<Problem>()

    /** Returns all problems of [document], or an empty list. */
    fun check(document: SettingsDocument): List<Problem> {
        when (document) {
            is RankSettings -> checkRank(document)
            is ServiceSettings -> checkService(document)
            is OrganisationSettings -> checkOrganisation(document)
            is AccessSettings -> checkAccess(document)
        }
        return problems
    }

    private fun checkRank(r: RankSettings) {
        checkRange("priority", r.priority, 0..MAX_PRIORITY)
        checkRange("firstTokenMillis", r.firstTokenMillis, 1..DAY_MILLIS)
        checkRange("betweenTokensMillis", r.betweenTokensMillis, 1..DAY_MILLIS)
        checkRange("deadlineMillis", r.deadlineMillis, 1..DAY_MILLIS)
        checkRange("floorShare", r.floorShare, 0.0..1.0)
        checkRange("weight", r.weight, WEIGHTS)
        checkRange("retryReserveShare", r.retryReserveShare, 0.0..1.0)
    }

    private fun checkService(s: ServiceSettings) {
        if ((s.model == null) == (s.plain == null)) {
            val found = if (s.model == null) "neither model nor plain" else "both model and plain"
            add(ProblemKind.OUT_OF_RANGE, "", found, "exactly one of model and plain")
        }
        s.model?.let(::checkModel)
        s.plain?.let(::checkPlain)
        checkRange("timeouts.connectMillis", s.timeouts.connectMillis, 1..DAY_MILLIS)
        checkRange("timeouts.silenceMillis", s.timeouts.silenceMillis, 1..DAY_MILLIS)
        checkRange("timeouts.answerMillis", s.timeouts.answerMillis, 1..DAY_MILLIS)
        checkRange("retry.maxAttempts", s.retry.maxAttempts, 1..MAX_ATTEMPTS)
        checkRange("retry.baseDelayMillis", s.retry.baseDelayMillis, 1..HOUR_MILLIS)
        checkRange(
            "retry.maxDelayMillis",
            s.retry.maxDelayMillis,
            s.retry.baseDelayMillis..HOUR_MILLIS
        )
    }

    private fun checkModel(m: ModelSettings) {
        checkRange("model.layers", m.layers, 1..MAX_LAYERS)
        checkLabel("model.version", m.version)
        checkLabels("model.versions", m.versions)
        checkLabels("model.adapters", m.adapters)
        val p = m.placement
        checkRange("model.placement.minCopies", p.minCopies, 1..PlacementSettings.MAX_COPIES)
        checkRange(
            "model.placement.maxCopies",
            p.maxCopies,
            p.minCopies..PlacementSettings.MAX_COPIES
        )
        checkRange("model.placement.maxConcurrentMoves", p.maxConcurrentMoves, 1..MAX_MOVES)
    }

    private fun checkPlain(p: PlainSettings) {
        checkSize("plain.nonIdempotent", p.nonIdempotent.size, 0..MAX_ITEMS)
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

    private fun checkOrganisation(o: OrganisationSettings) {
        checkKeys(o.keyHashes)
        checkRange("weight", o.weight, WEIGHTS)
        o.tokensPerSecond?.let { checkRange("tokensPerSecond", it, 1L..MAX_TOKENS_PER_SECOND) }
        o.concurrentRequests?.let { checkRange("concurrentRequests", it, 1..MAX_CONCURRENT) }
        o.services?.let { checkDistinct("services", it.map { s -> s.value }) }
        o.ranks?.let { checkDistinct("ranks", it.map { r -> r.value }) }
    }

    private fun checkAccess(a: AccessSettings) {
        checkKeys(a.keyHashes)
        checkDistinct("prefixes", a.prefixes.map { it.value })
        a.prefixes.forEachIndexed { i, p ->
            if (!p.isValid) {
                val allowed = "a path below ${kindNames()}, or '' for the whole tree"
                add(ProblemKind.OUT_OF_RANGE, "prefixes[$i]", quoted(p.value), allowed)
            }
        }
    }

    private fun checkKeys(hashes: List<KeyHash>) {
        checkSize("keyHashes", hashes.size, 1..MAX_KEYS)
        checkDistinct("keyHashes", hashes.map { it.value })
        hashes.forEachIndexed { i, h ->
            if (!h.isValid) {
                val allowed = "a SHA-256 hash as 64 lower-case hexadecimal digits"
                add(ProblemKind.OUT_OF_RANGE, "keyHashes[$i]", quoted(h.value), allowed)
            }
        }
    }

    private fun checkLabels(field: String, values: List<String>) {
        checkDistinct(field, values)
        values.forEachIndexed { i, v -> checkLabel("$field[$i]", v) }
    }

    private fun checkLabel(field: String, value: String) {
        if (!LABEL.matches(value)) {
            add(ProblemKind.OUT_OF_RANGE, field, quoted(value), "1 to 128 of A-Z a-z 0-9 . _ : -")
        }
    }

    private fun checkDistinct(field: String, values: List<String>) {
        checkSize(field, values.size, 0..MAX_ITEMS)
        values.groupingBy { it }.eachCount().filterValues { it > 1 }.forEach { (v, n) ->
            add(ProblemKind.DUPLICATE, field, "${quoted(v)} $n times", "each value once")
        }
    }

    private fun checkSize(field: String, size: Int, allowed: IntRange) {
        if (size !in allowed) {
            val text = "${allowed.first} to ${allowed.last} items"
            add(ProblemKind.OUT_OF_RANGE, field, "$size items", text)
        }
    }

    private fun <T : Comparable<T>> checkRange(field: String, value: T, allowed: ClosedRange<T>) {
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

        // Limits the size of a document, and therefore of a snapshot.
        const val MAX_ITEMS = 256
        const val MAX_KEYS = 16
        val WEIGHTS = 0.001..1_000_000.0
        val METHOD = Regex("[A-Z]{1,16}|\\*")
        val LABEL = Regex("[A-Za-z0-9._:-]{1,128}")
    }
}

private const val MAX_QUOTED = 80

/** Quotes [value] for a message, shortened to [MAX_QUOTED] characters. */
internal fun quoted(value: String): String = "'${value.take(MAX_QUOTED)}'"

internal fun kindNames(): String = SettingsKind.entries.joinToString { it.segment }
