package io.greengageport.bench

import java.util.Locale

/** Formats the results of an experiment as Markdown tables. */
internal object MarkdownReport {
    private const val PERCENT = 100

    /** Returns the report of [r], with one row for each rank, class and variant. */
    fun render(r: ExperimentResult): String = buildString {
        appendLine("### ${r.name}")
        appendLine()
        if (r.title.isNotEmpty()) appendLine("${r.title}\n")
        appendLine("Seed ${r.seed}, ${r.durationSeconds} s, started ${r.startedAt}.")
        for (v in r.variants) {
            val m = v.machine
            appendLine(
                "${v.name}: ${m.cores} cores, load average ${tenths(m.loadBefore)} before and " +
                    "${tenths(m.loadAfter)} after."
            )
        }
        if (r.events.isNotEmpty()) {
            appendLine()
            appendLine("Events: " + r.events.joinToString("; ") { "${it.atSeconds} s ${it.what}" })
        }
        appendLine()
        appendClassTable(r)
        appendLine()
        appendFleetTable(r)
        appendRecoveryTable(r)
    }

    private fun StringBuilder.appendClassTable(r: ExperimentResult) {
        appendRow(
            "rank",
            "class",
            "variant",
            "offered",
            "answered",
            "refused",
            "cut",
            "lost",
            "resent",
            "first token p50/p95/p99 ms",
            "between tokens p50/p95/p99/max ms",
            "tokens/s"
        )
        appendRow(*Array(CLASS_TABLE_COLUMNS) { "---" })
        val keys = r.variants.flatMap { v -> v.rows.map { it.rank to it.organisationClass } }
        for ((rank, c) in keys.distinct()) {
            for (v in r.variants) {
                val x = v.rows.firstOrNull { it.rank == rank && it.organisationClass == c }
                    ?: continue
                appendRow(
                    rank,
                    c,
                    v.name,
                    x.offered.toString(),
                    "${x.answered} (${tenths(x.answeredShare * PERCENT)}%)",
                    x.refused.toString(),
                    x.interrupted.toString(),
                    x.connectionLost.toString(),
                    x.resent.toString(),
                    x.firstToken.let { "${rounded(it.p50)}/${rounded(it.p95)}/${rounded(it.p99)}" },
                    x.betweenTokens.let {
                        "${rounded(
                            it.p50
                        )}/${rounded(it.p95)}/${rounded(it.p99)}/${rounded(it.max)}"
                    },
                    tenths(x.tokensPerSecond)
                )
            }
        }
    }

    private fun StringBuilder.appendFleetTable(r: ExperimentResult) {
        appendRow("fleet", *r.variants.map { it.name }.toTypedArray())
        appendRow(*Array(r.variants.size + 1) { "---" })
        appendFleetRow(r, "bound, tokens/s") { tenths(it.boundTokensPerSecond) }
        appendFleetRow(r, "answered tokens/s") { tenths(it.tokensPerSecond) }
        appendFleetRow(r, "share of the bound") { "${tenths(it.boundShare * PERCENT)}%" }
        if (r.variants.any { it.overloaded != null }) {
            appendFleetRow(r, "share of the bound while demand exceeded it") { v ->
                val share = v.overloadedShare ?: return@appendFleetRow "none"
                "${tenths(share * PERCENT)}% in ${v.overloaded?.seconds} s"
            }
        }
        appendFleetRow(r, "engines: time busy / batches full / step over nominal") { v ->
            val used = v.engines.filter { it.batches > 0 }
            listOf<(EngineUsage) -> Double>({ it.busyShare }, { it.fill }, { it.stepRatio })
                .joinToString(" / ") { f ->
                    "${tenths(if (used.isEmpty()) 0.0 else used.map(f).average() * PERCENT)}%"
                }
        }
        appendFleetRow(r, "machine's processors in use") {
            "${tenths(it.machine.cpuShare * PERCENT)}%"
        }
        appendFleetRow(r, "tokens computed") { it.tokensComputed.toString() }
        appendFleetRow(r, "tokens wasted") { it.tokensWasted.toString() }
        appendFleetRow(r, "wrong, mixed, truncated or duplicated answers") { v ->
            if (v.faults.isEmpty()) {
                "0"
            } else {
                v.faults.entries.joinToString {
                    "${it.value} ${it.key}"
                }
            }
        }
        appendFleetRow(r, "engines lost without an event") { it.enginesLost.toString() }
        appendFleetRow(r, "failed attempts by code (execution)") { v ->
            v.failures.entries.joinToString { "${it.value} ${it.key}" }.ifEmpty { "0" }
        }
        if (r.variants.any { it.orders.orders > 0 }) {
            appendFleetRow(r, "orders: sent / effects / ran twice / wrongly \"not run\"") {
                it.orders.run { "$orders / $effects / $ranTwice / $wronglyNotRun" }
            }
        }
        if (r.variants.any { it.problems.isNotEmpty() }) {
            appendFleetRow(r, "problems") {
                it.problems.joinToString("; ").replace("|", "/").ifEmpty { "0" }
            }
        }
    }

    private fun StringBuilder.appendRecoveryTable(r: ExperimentResult) {
        val keys = r.variants.flatMap { v -> v.recoveries.map { it.event to it.rank } }.distinct()
        if (keys.isEmpty()) return
        appendLine()
        appendRow("recovery after", "rank", *r.variants.map { "${it.name}, s" }.toTypedArray())
        appendRow(*Array(r.variants.size + 2) { "---" })
        for ((event, rank) in keys) {
            val times = r.variants.map { v ->
                val x = v.recoveries.firstOrNull { it.event == event && it.rank == rank }
                x?.seconds?.toString() ?: "not before the next event or the end"
            }
            appendRow(event, rank, *times.toTypedArray())
        }
    }

    private fun StringBuilder.appendFleetRow(
        r: ExperimentResult,
        name: String,
        value: (VariantResult) -> String
    ) = appendRow(name, *r.variants.map(value).toTypedArray())

    private fun StringBuilder.appendRow(vararg cells: String) {
        appendLine(cells.joinToString(" | ", "| ", " |"))
    }

    private fun tenths(x: Double) = String.format(Locale.ROOT, "%.1f", x)

    private fun rounded(x: Double) = String.format(Locale.ROOT, "%.0f", x)

    private const val CLASS_TABLE_COLUMNS = 12
}
