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

    private fun withSlotShares(ranks: List<RankPolicy>) =
        ranks.zip(listOf(0.5, 0.8, 1.0)) { rank, share -> rank.copy(maxSlotShare = share) }

    /** Fails if the incremental trees, sums and tags give other results than full recomputation. */
    @Property(tries = 300, seed = SEED)
    fun `matches the decisions of the naive reference queue`(@ForAll seed: Long) {
        val random = Random(seed)
        val settings = QueueSettings(
            withSlotShares(ranks()),
            maxLength = 25,
            maxQueuedTokens = 4_000,
            weights = mapOf(org(0) to 4.0, org(1) to 2.0)
        )
        val queues = listOf(FairQueue(settings), NaiveFairQueue(settings))
        val polled = linkedSetOf<RequestId>()
        var now = 0L
        repeat(300) { step ->
            now += random.nextLong(40)
            val r = randomRequest(random, step, now)
            val id = RequestId("${random.nextInt(step + 1)}")
            val completedId = polled.randomOrNull(random)?.also(polled::remove) ?: id
            val newSettings = settings.copy(
                ranks = withSlotShares(ranks(random.nextInt(5) / 10.0, random.nextInt(5) / 10.0))
            )
            val choice = random.nextInt(12)
            val slots = random.nextInt(40)
            val (actual, expected) = queues.map { q ->
                val result: Any? = when (choice) {
                    in 0..5 -> q.offer(r, now)

                    in 6..7 -> q.poll(slots).also { r -> r?.let { polled += it.id } }

                    8 -> q.remove(id)

                    9 -> q.expire(now)

                    10 -> q.complete(completedId, r.estimatedTokens * 2)

                    else -> q.update(newSettings).also {
                        q.updateServiceRate(newSettings.ranks[1].floorShare * 9_000)
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
            expectThat(actual).describedAs("seed $seed step $step").isEqualTo(expected)
        }
    }

    /** Fails if a request is lost or has two outcomes. */
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

    /** Fails if more urgent ranks can push a rank below its floor. */
    @Property(tries = 100, seed = SEED)
    fun `a backlogged rank is never behind its floor by more than one request`(
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

    /** Fails if many or large requests give an organisation more than its weighted share. */
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
        /** Fails if requests of an organisation are served in arrival order. */
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

        /** Fails if underestimated requests give an organisation more than its share. */
        @Test
        fun `charges the actual tokens when a request ends`() {
            val queue = FairQueue(QueueSettings(ranks()))
            for (o in listOf("a", "b")) {
                repeat(12) {
                    queue.offer(request("$o$it", organisation = o), 0)
                }
            }
            val first = checkNotNull(queue.poll())
            queue.complete(first.id, actualTokens = 1_000)
            val nextOrganisations = List(10) { queue.poll()?.organisation?.value }
            expectThat(nextOrganisations.count { it == first.organisation.value }).isEqualTo(0)
        }
    }

    @Nested
    inner class Bounds {
        /** Fails if a small organisation or a rank below its floor is shed. */
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

        /** Fails if a request that is expected to expire in the queue is accepted. */
        @Test
        fun `refuses a request whose deadline cannot be met and states when to retry`() {
            val queue = FairQueue(QueueSettings(ranks()))
            repeat(10) { queue.offer(request(it, deadline = 300), 0) }
            queue.updateServiceRate(1_000.0)
            expectThat(queue.offer(request("x", deadline = 400), 0))
                .isEqualTo(Offer.Refused(RefusalReason.DEADLINE, retryAfterMillis = 600))
            expectThat(queue.offer(request("y", organisation = "other", deadline = 400), 0))
                .isEqualTo(Offer.Queued(emptyList()))
        }

        /** Fails if requests are lost when a rank is removed from the settings and added again. */
        @Test
        fun `keeps queued requests of a removed rank`() {
            val queue = FairQueue(QueueSettings(ranks()))
            queue.offer(request("m", MIDDLE), 0)
            queue.update(QueueSettings(ranks().filter { it.name != MIDDLE }))
            queue.update(QueueSettings(ranks()))
            expectThat(queue.remove(RequestId("m"))).isEqualTo(request("m", MIDDLE))
            expectThat(queue.poll()).isEqualTo(null)
        }

        /** Guards against more running requests than slots after a rank is removed. */
        @Test
        fun `counts the running requests of a removed rank`() {
            val queue = FairQueue(QueueSettings(ranks()))
            queue.offer(request("m", MIDDLE), 0)
            queue.poll(slots = 1)
            queue.update(QueueSettings(ranks().filter { it.name != MIDDLE }))
            queue.offer(request("l", LOWEST), 0)
            expectThat(queue.poll(slots = 1)).isEqualTo(null)
            queue.complete(RequestId("m"), actualTokens = 1)
            expectThat(queue.poll(slots = 1)).isEqualTo(request("l", LOWEST))
        }
    }

    /** Fails if memory use or start tags grow with every organisation ever seen. */
    @Test
    fun `removes idle organisations`() {
        val rank = RankQueue(ranks().first())
        repeat(10_000) { i ->
            rank.add(Entry(request(i, organisation = i), i.toLong()), weight = 1.0)
            rank.poll()
            rank.complete(org(i), correctionTokens = 50)
        }
        expectThat(rank.organisationCount).isLessThanOrEqualTo(2_048)
    }

    /** Fails if a burst of one large caller delays small callers of the same rank. */
    @Test
    fun `the p95 wait of small callers grows by at most 10 percent during a burst`() {
        val waits = listOf(6.0, 24.0).map { flood ->
            val streams = listOf(Stream(URGENT, SMALL, 0.2), Stream(URGENT, LARGE, flood))
            val simulation = Simulation(fairQueue()).run(streams, seed = 1, millis = 600_000)
            checkNotNull(simulation.waits[URGENT to false]).percentile(0.95)
        }
        expectThat(waits[1].toDouble()).isLessThanOrEqualTo(1.1 * waits[0])
    }

    private fun randomRequest(random: Random, id: Any, now: Long) = request(
        id = id,
        rank = all[random.nextInt(3)],
        organisation = random.nextInt(5),
        tokens = random.nextLong(1, 400),
        // Distinct deadlines, because the naive queue does not break ties the same way.
        deadline = now + random.nextLong(50) * 40 + 1
    )

    private fun backlogged(rank: RankName, id: Any, random: Random, organisation: Any = "a") =
        request("$rank-$id", rank, organisation, random.nextLong(1, MAX_TOKENS + 1))

    private companion object {
        const val MAX_TOKENS = 500L
    }
}
