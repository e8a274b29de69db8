package io.greengageport.bench

import java.util.Locale

/** Writes an experiment's figures as Markdown, one table row for each rank, class and variant. */
internal object MarkdownReport {
    private const val PERCENT = 100

    fun of(r: ExperimentResult): String = buildString {
        appendLine("### ${r.name}")
        appendLine()
        if (r.title.isNotEmpty()) appendLine("${r.title}\n")
        appendLine("Seed ${r.seed}, ${r.durationSeconds} s, started ${r.startedAt}.")
        for (v in r.variants) {
            val m = v.machine
            appendLine(
                "${v.name}: ${m.cores} cores, load average ${one(m.loadBefore)} before and " +
                    "${one(m.loadAfter)} after."
            )
        }
        if (r.events.isNotEmpty()) {
            appendLine()
            appendLine("Events: " + r.events.joinToString("; ") { "${it.atSeconds} s ${it.what}" })
        }
        appendLine()
        classes(r)
        appendLine()
        fleet(r)
        recoveries(r)
    }

    private fun StringBuilder.classes(r: ExperimentResult) {
        row(
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
        row(*Array(CLASS_COLUMNS) { "---" })
        val keys = r.variants.flatMap { v -> v.rows.map { it.rank to it.organisationClass } }
        for ((rank, c) in keys.distinct()) {
            for (v in r.variants) {
                val x = v.rows.firstOrNull { it.rank == rank && it.organisationClass == c }
                    ?: continue
                row(
                    rank,
                    c,
                    v.name,
                    x.offered.toString(),
                    "${x.answered} (${one(x.answeredShare * PERCENT)}%)",
                    x.refused.toString(),
                    x.interrupted.toString(),
                    x.connectionLost.toString(),
                    x.resent.toString(),
                    x.firstToken.let { "${whole(it.p50)}/${whole(it.p95)}/${whole(it.p99)}" },
                    x.betweenTokens.let {
                        "${whole(it.p50)}/${whole(it.p95)}/${whole(it.p99)}/${whole(it.max)}"
                    },
                    one(x.tokensPerSecond)
                )
            }
        }
    }

    private fun StringBuilder.fleet(r: ExperimentResult) {
        row("fleet", *r.variants.map { it.name }.toTypedArray())
        row(*Array(r.variants.size + 1) { "---" })
        line(r, "bound, tokens/s") { one(it.boundTokensPerSecond) }
        line(r, "answered tokens/s") { one(it.tokensPerSecond) }
        line(r, "share of the bound") { "${one(it.boundShare * PERCENT)}%" }
        if (r.variants.any { it.overloaded != null }) {
            line(r, "share of the bound while demand exceeded it") { v ->
                val share = v.overloadedShare ?: return@line "none"
                "${one(share * PERCENT)}% in ${v.overloaded?.seconds} s"
            }
        }
        line(r, "engines: time busy / batches full / step over nominal") { v ->
            val used = v.engines.filter { it.batches > 0 }
            listOf<(EngineUse) -> Double>({ it.busyShare }, { it.fill }, { it.stepRatio })
                .joinToString(" / ") { f ->
                    "${one(if (used.isEmpty()) 0.0 else used.map(f).average() * PERCENT)}%"
                }
        }
        line(r, "machine's processors in use") { "${one(it.machine.cpuShare * PERCENT)}%" }
        line(r, "tokens computed") { it.tokensComputed.toString() }
        line(r, "tokens wasted") { it.tokensWasted.toString() }
        line(r, "wrong, mixed, truncated or duplicated answers") { v ->
            if (v.faults.isEmpty()) {
                "0"
            } else {
                v.faults.entries.joinToString {
                    "${it.value} ${it.key}"
                }
            }
        }
        line(r, "engines lost without an event") { it.enginesLost.toString() }
        line(r, "failed tries by code (execution)") { v ->
            v.failures.entries.joinToString { "${it.value} ${it.key}" }.ifEmpty { "0" }
        }
        if (r.variants.any { it.orders.orders > 0 }) {
            line(r, "orders: sent / effects / ran twice / wrongly \"not run\"") {
                it.orders.run { "$orders / $effects / $ranTwice / $wronglyNotRun" }
            }
        }
        if (r.variants.any { it.problems.isNotEmpty() }) {
            line(r, "problems") { it.problems.joinToString("; ").replace("|", "/").ifEmpty { "0" } }
        }
    }

    private fun StringBuilder.recoveries(r: ExperimentResult) {
        val keys = r.variants.flatMap { v -> v.recoveries.map { it.event to it.rank } }.distinct()
        if (keys.isEmpty()) return
        appendLine()
        row("recovery after", "rank", *r.variants.map { "${it.name}, s" }.toTypedArray())
        row(*Array(r.variants.size + 2) { "---" })
        for ((event, rank) in keys) {
            val times = r.variants.map { v ->
                val x = v.recoveries.firstOrNull { it.event == event && it.rank == rank }
                x?.seconds?.toString() ?: "not before the next event or the end"
            }
            row(event, rank, *times.toTypedArray())
        }
    }

    private fun StringBuilder.line(
        r: ExperimentResult,
        name: String,
        value: (VariantResult) -> String
    ) = row(name, *r.variants.map(value).toTypedArray())

    private fun StringBuilder.row(vararg cells: String) {
        appendLine(cells.joinToString(" | ", "| ", " |"))
    }

    private fun one(x: Double) = String.format(Locale.ROOT, "%.1f", x)

    private fun whole(x: Double) = String.format(Locale.ROOT, "%.0f", x)

    private const val CLASS_COLUMNS = 12
}
