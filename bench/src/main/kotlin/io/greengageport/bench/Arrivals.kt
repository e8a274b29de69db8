package io.greengageport.bench

import kotlin.math.ln
import kotlin.random.Random

/** A request that is scheduled [atNanos] nanoseconds after the start of the experiment. */
internal data class Arrival(
    val number: Int,
    val atNanos: Long,
    val group: CallerGroup,
    val key: String,
    val prompt: String,
    /**
     * Random number that selects the entry instance of the first attempt, as a load balancer would.
     *
     * It is used modulo the number of instances.
     */
    val target: Int
)

/**
 * Generates Poisson arrivals for all caller groups of an experiment.
 *
 * The arrivals depend only on the groups, the duration and the seed. A surge changes the rate at a
 * given time. Because a Poisson process is memoryless, the time to the next arrival is drawn again
 * at each change of the rate.
 */
internal object Arrivals {
    /** Returns the arrivals of the first [seconds], numbered in the order of time. */
    fun generate(groups: List<CallerGroup>, seconds: Int, seed: Long): List<Arrival> =
        groups.flatMapIndexed { i, g -> generateGroup(g, seconds, Random(seed * SEED_STEP + i)) }
            .sortedBy { it.atNanos }
            .mapIndexed { i, a -> a.copy(number = i) }

    private fun generateGroup(g: CallerGroup, seconds: Int, random: Random): List<Arrival> {
        val arrivals = mutableListOf<Arrival>()
        val changes = (g.surges.flatMap { listOf(it.fromSeconds, it.untilSeconds) } + 0.0)
            .filter { it < seconds }.distinct().sorted() + seconds.toDouble()
        for ((from, until) in changes.zipWithNext()) {
            val rate = rateAt(g, from)
            if (rate <= 0) continue
            var t = from + nextGapSeconds(random, rate)
            while (t < until) {
                arrivals += newArrival(g, t, arrivals.size, random)
                t += nextGapSeconds(random, rate)
            }
        }
        return arrivals
    }

    /** Requests per second of [g] at [atSeconds] after the start. */
    fun rateAt(g: CallerGroup, atSeconds: Double): Double =
        g.surges.firstOrNull { atSeconds >= it.fromSeconds && atSeconds < it.untilSeconds }?.rate
            ?: g.rate

    private fun nextGapSeconds(random: Random, rate: Double) = -ln(1 - random.nextDouble()) / rate

    private fun newArrival(g: CallerGroup, seconds: Double, number: Int, random: Random) = Arrival(
        number = 0,
        atNanos = (seconds * NANOS_PER_SECOND).toLong(),
        group = g,
        key = g.keys[random.nextInt(g.keys.size)],
        prompt = g.prompt ?: randomPrompt(g, number, random),
        target = random.nextInt(Int.MAX_VALUE)
    )

    /** Returns a prompt with a unique first word, so that its answer is unique as well. */
    private fun randomPrompt(g: CallerGroup, number: Int, random: Random) = (
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
