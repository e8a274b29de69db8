package io.greengageport.limits

import io.greengageport.common.RankName
import io.greengageport.common.RequestId
import kotlin.math.abs
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class FairQueueTest {
    private val all = listOf(URGENT, MIDDLE, LOWEST)

    private fun sharingSlots(ranks: List<RankPolicy>) =
        ranks.zip(listOf(0.5, 0.8, 1.0)) { rank, share -> rank.copy(slotShare = share) }

    /** Guards against errors in the incremental trees, sums and tags of the queue. */
    @Property(tries = 300, seed = SEED)
    fun `decides as the naive queue does`(@ForAll seed: Long) {
        val random = Random(seed)
        val bounds = QueueSettings(
            sharingSlots(ranks()),
            maxLength = 25,
            maxQueuedTokens = 4_000,
            weights = mapOf(org(0) to 4.0, org(1) to 2.0)
        )
        val queues = listOf(FairQueue(bounds), NaiveFairQueue(bounds))
        val polled = linkedSetOf<RequestId>()
        var now = 0L
        repeat(300) { step ->
            now += random.nextLong(40)
            val r = randomRequest(random, step, now)
            val id = RequestId("${random.nextInt(step + 1)}")
            val done = polled.randomOrNull(random)?.also(polled::remove) ?: id
            val next = bounds.copy(
                ranks = sharingSlots(ranks(random.nextInt(5) / 10.0, random.nextInt(5) / 10.0))
            )
            val choice = random.nextInt(12)
            val slots = random.nextInt(40)
            val (fast, naive) = queues.map { q ->
                val result: Any? = when (choice) {
                    in 0..5 -> q.offer(r, now)

                    in 6..7 -> q.poll(slots).also { r -> r?.let { polled += it.id } }

                    8 -> q.remove(id)

                    9 -> q.expire(now)

                    10 -> q.complete(done, r.estimatedTokens * 2)

                    else -> q.update(next).also {
                        q.updateServiceRate(next.ranks[1].floorShare * 9_000)
                    }
                }
                listOf(
                    result,
                    q.size,
                    q.queuedTokens,
                    q.nextDeadlineMillis(),
                    all.map(q::drainMillis)
                )
            }
            expectThat(fast).describedAs("seed $seed step $step").isEqualTo(naive)
        }
    }

    /** Guards against requests that vanish or are answered twice. */
    @Property(tries = 200, seed = SEED)
    fun `gives each request exactly one outcome`(@ForAll seed: Long) {
        val random = Random(seed)
        val queue = FairQueue(QueueSettings(ranks(), maxLength = 10, maxQueuedTokens = 1_500))
        queue.updateServiceRate(2_000.0)
        val outcomes = mutableListOf<RequestId>()
        val offered = List(200) { step ->
            val r = randomRequest(random, step, now = step * 20L)
            when (val offer = queue.offer(r, step * 20L)) {
                is Offer.Queued -> outcomes += offer.shed.map { it.id }
                is Offer.Refused -> outcomes += offer.shed.map { it.id } + r.id
            }
            if (random.nextInt(3) == 0) queue.poll()?.let { outcomes += it.id }
            if (random.nextInt(9) == 0) queue.remove(r.id)?.let { outcomes += it.id }
            outcomes += queue.expire(step * 20L).map { it.id }
            r.id
        }
        outcomes += generateSequence { queue.poll() }.map { it.id }
        expectThat(outcomes.sortedBy { it.value }).describedAs("seed $seed")
            .isEqualTo(offered.sortedBy { it.value })
        expectThat(queue.queuedTokens).isEqualTo(0)
    }

    /** Guards against a floor that the more urgent ranks can take away. */
    @Property(tries = 100, seed = SEED)
    fun `keeps each floor within one request's work`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 0, max = 50) middle: Int,
        @ForAll @IntRange(min = 0, max = 50) lowest: Int
    ) {
        val random = Random(seed)
        val floors = ranks(middle / 100.0, lowest / 100.0)
        val queue = FairQueue(QueueSettings(floors))
        val served = mutableMapOf<RankName, Long>()
        for (rank in all) repeat(300) { queue.offer(backlogged(rank, it, random), 0) }
        repeat(300) {
            val r = checkNotNull(queue.poll())
            served.merge(r.rank, r.estimatedTokens, Long::plus)
            queue.offer(backlogged(r.rank, "again$it", random), 0)
            val total = served.values.sum()
            for (p in floors) {
                val behind = p.floorShare * total - (served[p.name] ?: 0)
                expectThat(behind).describedAs("seed $seed ${p.name}")
                    .isLessThanOrEqualTo(MAX_TOKENS.toDouble())
            }
        }
    }

    /** Guards against an organisation that gets more than its weight by many or large requests. */
    @Property(tries = 100, seed = SEED)
    fun `bounds the difference in work per weight of two backlogged organisations`(
        @ForAll seed: Long
    ) {
        val random = Random(seed)
        val weights = mapOf(org(0) to 1.0, org(1) to 3.0)
        val queue = FairQueue(QueueSettings(ranks(), weights = weights))
        repeat(800) { queue.offer(backlogged(URGENT, it, random, organisation = it % 2), 0) }
        val served = mutableMapOf(org(0) to 0.0, org(1) to 0.0)
        repeat(300) {
            val r = checkNotNull(queue.poll())
            served.merge(r.organisation, r.estimatedTokens / weights.getValue(r.organisation)) {
                    a,
                    b
                ->
                a + b
            }
            val gap = abs(served.getValue(org(0)) - served.getValue(org(1)))
            expectThat(gap).describedAs("seed $seed")
                .isLessThanOrEqualTo(MAX_TOKENS / 1.0 + MAX_TOKENS / 3.0)
        }
    }

    @Nested
    inner class Order {
        /** Guards against arrival order replacing deadlines inside an organisation. */
        @Test
        fun `serves urgent ranks first and the earliest deadline within an organisation`() {
            val queue = FairQueue(QueueSettings(ranks(0.0, 0.0)))
            queue.offer(request("late", MIDDLE, deadline = 900), 0)
            queue.offer(request("early", MIDDLE, deadline = 500), 0)
            queue.offer(request("urgent", URGENT, deadline = 5_000), 0)
            expectThat(
                List(3) {
                    queue.poll()?.id?.value
                }
            ).containsExactly("urgent", "early", "late")
        }

        /** Guards against an estimate far too low that buys an organisation more than its part. */
        @Test
        fun `charges the actual tokens once a request ends`() {
            val queue = FairQueue(QueueSettings(ranks()))
            for (o in listOf("a", "b")) {
                repeat(12) {
                    queue.offer(request("$o$it", organisation = o), 0)
                }
            }
            val first = checkNotNull(queue.poll())
            queue.complete(first.id, actualTokens = 1_000)
            val next = List(10) { queue.poll()?.organisation?.value }
            expectThat(next.count { it == first.organisation.value }).isEqualTo(0)
        }
    }

    @Nested
    inner class Bounds {
        /** Guards against shedding small callers or a rank below its floor. */
        @Test
        fun `sheds the largest organisation of the lowest rank above its floor`() {
            val queue = FairQueue(QueueSettings(ranks(0.2, 0.2), maxLength = 10))
            queue.offer(request("l1", LOWEST, "small"), 0)
            queue.offer(request("l2", LOWEST, "small"), 0)
            repeat(2) { queue.offer(request("m-small$it", MIDDLE, "small"), 0) }
            repeat(6) { queue.offer(request("m$it", MIDDLE, "large", deadline = 1_000L + it), 0) }
            val offer = queue.offer(request("u", URGENT, "small"), 0)
            expectThat(offer)
                .isEqualTo(Offer.Queued(listOf(request("m5", MIDDLE, "large", deadline = 1_005))))
        }

        /** Guards against queueing requests that are certain to expire. */
        @Test
        fun `refuses a deadline that cannot be met and says when it could`() {
            val queue = FairQueue(QueueSettings(ranks()))
            repeat(10) { queue.offer(request(it, deadline = 300), 0) }
            queue.updateServiceRate(1_000.0)
            expectThat(queue.offer(request("x", deadline = 400), 0))
                .isEqualTo(Offer.Refused(RefusalReason.DEADLINE, retryAfterMillis = 600))
            expectThat(queue.offer(request("y", organisation = "other", deadline = 400), 0))
                .isEqualTo(Offer.Queued(emptyList()))
        }

        /** Guards against losing requests when operators remove a rank and add it again. */
        @Test
        fun `keeps the requests of a removed rank`() {
            val queue = FairQueue(QueueSettings(ranks()))
            queue.offer(request("m", MIDDLE), 0)
            queue.update(QueueSettings(ranks().filter { it.name != MIDDLE }))
            queue.update(QueueSettings(ranks()))
            expectThat(queue.remove(RequestId("m"))).isEqualTo(request("m", MIDDLE))
            expectThat(queue.poll()).isEqualTo(null)
        }
    }

    /** Guards against memory and leads that grow with every organisation ever seen. */
    @Test
    fun `forgets idle organisations`() {
        val rank = RankQueue(ranks().first())
        repeat(10_000) { i ->
            rank.add(Entry(request(i, organisation = i), i.toLong()), weight = 1.0)
            rank.poll()
            rank.complete(org(i), correction = 50)
        }
        expectThat(rank.knownOrganisations).isLessThanOrEqualTo(2_048)
    }

    /** Guards against a large caller's flood that slows small callers of the same rank. */
    @Test
    fun `keeps the p95 wait of small callers within a tenth during a flood of their rank`() {
        val waits = listOf(6.0, 24.0).map { flood ->
            val streams = listOf(Stream(URGENT, SMALL, 0.2), Stream(URGENT, LARGE, flood))
            val simulation = Simulation(fair()).run(streams, seed = 1, millis = 600_000)
            checkNotNull(simulation.waits[URGENT to false]).percentile(0.95)
        }
        expectThat(waits[1].toDouble()).isLessThanOrEqualTo(1.1 * waits[0])
    }

    private fun randomRequest(random: Random, id: Any, now: Long) = request(
        id = id,
        rank = all[random.nextInt(3)],
        organisation = random.nextInt(5),
        tokens = random.nextLong(1, 400),
        // Distinct deadlines keep the naive queue free of tie rules.
        deadline = now + random.nextLong(50) * 40 + 1
    )

    private fun backlogged(rank: RankName, id: Any, random: Random, organisation: Any = "a") =
        request("$rank-$id", rank, organisation, random.nextLong(1, MAX_TOKENS + 1))

    private companion object {
        const val MAX_TOKENS = 500L
    }
}
