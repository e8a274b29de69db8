package io.greengageport.bench

/** Generates requests that warm up the JIT compiler before a measurement. */
internal object Warmup {
    private const val REQUEST_COUNT = 120
    private const val INTERVAL_NANOS = 25_000_000L

    /** Returns short completions modelled on those in [arrivals], with unique prompts. */
    fun arrivals(arrivals: List<Arrival>): List<Arrival> {
        val completions = arrivals.filter {
            it.group.kind == CallKind.COMPLETION && it.group.prompt == null
        }
        if (completions.isEmpty()) return emptyList()
        return List(REQUEST_COUNT) { i ->
            val a = completions[i % completions.size]
            a.copy(
                number = i,
                atNanos = i * INTERVAL_NANOS,
                group = a.group.copy(tokens = minOf(a.group.tokens, MAX_ANSWER_TOKENS)),
                prompt = "warm-up $i of ${a.group.name}",
                target = i
            )
        }
    }

    private const val MAX_ANSWER_TOKENS = 8
}
