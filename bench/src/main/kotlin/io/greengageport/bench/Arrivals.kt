package io.greengageport.bench

import kotlin.math.ln
import kotlin.random.Random

/** A request that a caller intends to send [atNanos] after the start. */
internal data class Arrival(
    val number: Int,
    val atNanos: Long,
    val group: CallerGroup,
    val key: String,
    val prompt: String,
    /** Chooses the entry instance, as a balancer would. */
    val target: Int
)

/**
 * Poisson arrivals of all groups of an experiment, a pure function of the seed.
 *
 * A surge changes the rate at a given time: since the process has no memory, the time to the next
 * arrival is drawn anew at each change.
 */
internal object Arrivals {
    fun of(groups: List<CallerGroup>, seconds: Int, seed: Long): List<Arrival> =
        groups.flatMapIndexed { i, g -> ofGroup(g, seconds, Random(seed * SEED_STEP + i)) }
            .sortedBy { it.atNanos }
            .mapIndexed { i, a -> a.copy(number = i) }

    private fun ofGroup(g: CallerGroup, seconds: Int, random: Random): List<Arrival> {
        val out = mutableListOf<Arrival>()
        val changes = (g.surges.flatMap { listOf(it.fromSeconds, it.untilSeconds) } + 0.0)
            .filter { it < seconds }.distinct().sorted() + seconds.toDouble()
        for ((from, until) in changes.zipWithNext()) {
            val rate = rate(g, from)
            if (rate <= 0) continue
            var t = from + exponential(random, rate)
            while (t < until) {
                out += arrival(g, t, out.size, random)
                t += exponential(random, rate)
            }
        }
        return out
    }

    /** Requests per second of [g] at a time. */
    fun rate(g: CallerGroup, at: Double): Double =
        g.surges.firstOrNull { at >= it.fromSeconds && at < it.untilSeconds }?.rate ?: g.rate

    private fun exponential(random: Random, rate: Double) = -ln(1 - random.nextDouble()) / rate

    private fun arrival(g: CallerGroup, at: Double, number: Int, random: Random) = Arrival(
        number = 0,
        atNanos = (at * NANOS_PER_SECOND).toLong(),
        group = g,
        key = g.keys[random.nextInt(g.keys.size)],
        prompt = g.prompt ?: prompt(g, number, random),
        target = random.nextInt(Int.MAX_VALUE)
    )

    /** The first word makes each prompt, and so each answer, different from all others. */
    private fun prompt(g: CallerGroup, number: Int, random: Random) = (
        listOf("${g.name}-$number") + List(g.promptWords - 1) {
            WORDS[random.nextInt(WORDS.size)]
        }
        )
        .joinToString(" ")

    private const val NANOS_PER_SECOND = 1e9
    private const val SEED_STEP = 1_000_003L
    private val WORDS = "box pallet line hamper sheet note jar tin crate label count order"
        .split(' ')
}
