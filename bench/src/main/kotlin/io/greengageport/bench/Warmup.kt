package io.greengageport.bench

/** Requests before the measured ones, so that just-in-time compilation is not measured. */
internal object Warmup {
    private const val COUNT = 120
    private const val STEP_NANOS = 25_000_000L

    /** Completions like the first ones of [arrivals], with prompts of their own. */
    fun arrivals(arrivals: List<Arrival>): List<Arrival> {
        val models = arrivals.filter {
            it.group.kind == CallKind.COMPLETION && it.group.prompt == null
        }
        if (models.isEmpty()) return emptyList()
        return List(COUNT) { i ->
            val a = models[i % models.size]
            a.copy(
                number = i,
                atNanos = i * STEP_NANOS,
                group = a.group.copy(tokens = minOf(a.group.tokens, TOKENS)),
                prompt = "warm-up $i of ${a.group.name}",
                target = i
            )
        }
    }

    private const val TOKENS = 8
}
