package io.greengageport.gateway.forward

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.greengageport.common.DataCentre
import io.greengageport.common.InstanceId
import io.greengageport.common.LayerRange
import io.greengageport.common.RequestError
import io.greengageport.common.RequestId
import io.greengageport.common.RunnerId
import io.greengageport.gateway.ACCELERATOR
import io.greengageport.gateway.MODEL
import io.greengageport.gateway.PLAIN
import io.greengageport.gateway.RecordedLog
import io.greengageport.gateway.SteppedClock
import io.greengageport.gateway.configuration
import io.greengageport.gateway.engineProfile
import io.greengageport.gateway.model.Configuration
import io.greengageport.gateway.model.Service
import io.greengageport.gateway.port.CallerHeaders
import io.greengageport.gateway.route
import io.greengageport.gateway.state.InFlightTable
import io.greengageport.limits.Permit
import io.greengageport.routing.Fleet
import io.greengageport.routing.ModelCapacity
import io.greengageport.routing.Runner
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlin.random.Random
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against queued requests that get neither a permit nor a refusal. */
class AdmissionQueuesTest {
    private val clock = SteppedClock()
    private val fleet = Fleet().apply { setLayers(MODEL, 80) }
    private val queues = AdmissionQueues(
        self = InstanceId("one"),
        capacity = ModelCapacity(fleet),
        inFlight = InFlightTable({ 1 }, { null }),
        instances = { 1 },
        log = RecordedLog().log,
        clock = clock
    )
    private val model = Service(MODEL, "/health", 100, engineProfile())
    private var version = 0L

    /** Applies a configuration in which the service [MODEL] is [service], or missing if null. */
    private fun apply(service: Service?, priorities: List<Int> = listOf(0)) {
        val plain = persistentMapOf(PLAIN to Service(PLAIN, "/health", 100, null))
        val routes = priorities.map { route("/$it/", service = MODEL, priority = it) }
        val next: Configuration = configuration(++version, routes)
        queues.onConfiguration(
            next.copy(services = if (service == null) plain else plain.put(MODEL, service))
        )
    }

    private fun addEngine() = fleet.put(
        Runner(
            id = RunnerId("engine"),
            service = MODEL,
            dataCentre = DataCentre("a"),
            layers = LayerRange(0, 80),
            accelerator = ACCELERATOR.copy(memoryMegabytes = 1e6)
        )
    )

    private fun CoroutineScope.admit(
        id: String,
        priority: Int = 0,
        service: Service = model,
        deadlineMillis: Long = 20_000
    ): Deferred<Result<Permit?, RequestError>> {
        val context = context(id, priority, service, deadlineMillis)
        return async(start = CoroutineStart.UNDISPATCHED) { queues.admit(context, 0) }
    }

    private fun context(
        id: String,
        priority: Int = 0,
        service: Service = model,
        deadlineMillis: Long = 20_000,
        promptTokens: Int = 770
    ) = RequestContext(
        id = RequestId(id),
        head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a/"),
        body = ByteArray(0),
        caller = CallerHeaders(id, deadlineMillis, null, promptTokens, 170, null),
        route = route(service = MODEL, isStreaming = true, priority = priority),
        service = service,
        organisation = null,
        arrivedAtMillis = clock.nowMillis
    )

    /** Describes the decision, or returns "waiting" if there is none. */
    private suspend fun Deferred<Result<Permit?, RequestError>>.describe(): String {
        yield()
        if (!isCompleted) return "waiting"
        return await().fold(
            { if (it == null) "not queued" else "admitted" },
            { "${it.status} ${it.execution} retry=${it.retryAfterMillis}" }
        )
    }

    /** Ends the test even if a request still waits. */
    private fun test(block: suspend CoroutineScope.() -> Unit) = runBlocking {
        try {
            block()
        } finally {
            coroutineContext.cancelChildren()
        }
    }

    @Nested
    inner class `A request that waits` {
        /** Guards against a request without an answer, because nothing expires a removed queue. */
        @Test
        fun `is refused at once when its service is removed`() = test {
            apply(model)
            val waiting = admit("r")
            expectThat(waiting.describe()).isEqualTo("waiting")
            apply(service = null)
            expectThat(waiting.describe()).isEqualTo("503 NOT_RUN retry=100")
        }

        /** Guards against a wait until the deadline for engines that the service no longer has. */
        @Test
        fun `is refused at once when its service becomes a plain service`() = test {
            apply(model)
            val waiting = admit("r")
            apply(model.copy(engine = null))
            expectThat(waiting.describe()).isEqualTo("503 NOT_RUN retry=100")
        }

        /** Guards against a wait beyond the deadline, after which no answer is of use. */
        @Test
        fun `is refused by its deadline, even if its caller would tolerate a longer silence`() =
            test {
                apply(model)
                val waiting = admit("r", deadlineMillis = 1_000)
                clock.nowMillis += 1_001
                apply(model)
                expectThat(waiting.describe()).isEqualTo("503 NOT_RUN retry=100")
            }

        /** Guards against an unexpected error, which tells the caller that it may have run. */
        @Test
        fun `does not affect another request with its attempt id`() = test {
            apply(model)
            val twins = List(2) { admit("twin") }
            expectThat(twins.map { it.describe() }).isEqualTo(listOf("waiting", "waiting"))
        }

        /** Guards against requests that are lost when their rank is removed or comes back. */
        @Test
        fun `is decided by its deadline whatever ranks and services change meanwhile`() = test {
            for (seed in 1..200) {
                val random = Random(seed)
                apply(model, listOf(0, 1, 2))
                val requests = (0 until 30).map { i ->
                    if (random.nextInt(3) == 0) {
                        val ranks = (0..3).filter { random.nextBoolean() }
                        apply(model.takeIf { random.nextInt(4) > 0 }, ranks)
                    }
                    if (random.nextInt(8) == 0) addEngine()
                    if (random.nextInt(8) == 0) fleet.remove(RunnerId("engine"))
                    admit("r$seed-$i", priority = random.nextInt(4))
                }
                clock.nowMillis += 5_000
                apply(model)
                val undecided = requests.filter { it.describe() == "waiting" }
                expectThat(undecided.size).describedAs("undecided, seed $seed").isEqualTo(0)
                requests.forEach { it.await().get()?.release(1) }
            }
        }
    }

    @Nested
    inner class `A service` {
        /** Guards against refusals for lack of engines that a plain service does not need. */
        @Test
        fun `that becomes a plain service is no longer queued`() = test {
            apply(model)
            val plain = model.copy(engine = null)
            apply(plain)
            expectThat(admit("r", service = plain).describe()).isEqualTo("not queued")
        }

        /** Guards against engines filled beyond their memory by two queues of one service. */
        @Test
        fun `that is removed and added again counts the requests that still run`() = test {
            addEngine()
            apply(model)
            val running = admit("r")
            expectThat(running.describe()).isEqualTo("admitted")
            apply(service = null)
            apply(model)
            expectThat(queues.admitted()[MODEL]).isEqualTo(1)
            running.await().get()?.release(170)
            expectThat(queues.admitted()[MODEL]).isEqualTo(0)
        }

        /** Guards against engines filled beyond their memory when routes change their rank. */
        @Test
        fun `counts the requests that still run when their rank is removed`() = test {
            addEngine()
            val service = model.copy(engine = engineProfile().copy(slots = 4))
            apply(service)
            repeat(10) { admit("a$it", service = service) }
            yield()
            val admitted = queues.admitted()[MODEL]
            apply(service, priorities = listOf(1))
            repeat(10) { admit("b$it", priority = 1, service = service) }
            yield()
            expectThat(queues.admitted()[MODEL]).isEqualTo(admitted)
        }

        /** Guards against slots lost for good: a caller can use an attempt id twice. */
        @Test
        fun `gets its slots back after two requests with one attempt id`() = test {
            addEngine()
            val service = model.copy(engine = engineProfile().copy(slots = 4))
            apply(service)
            suspend fun fill(): Int {
                val requests = (0 until 10).map { admit("r$it", service = service) }
                yield()
                val admitted = checkNotNull(queues.admitted()[MODEL])
                requests.filter { !it.isCompleted }.forEach { it.cancel() }
                yield()
                requests.filter { !it.isCancelled }.forEach { it.await().get()?.release(1) }
                return admitted
            }
            val slots = fill()
            val twins = List(2) { admit("twin", service = service) }
            twins.forEach { it.await().get()?.release(1) }
            expectThat(fill()).isEqualTo(slots)
        }

        /** Guards against slots lost for good: a negative number of tokens cannot be released. */
        @Test
        fun `gets its slot back after a request with an impossible number of tokens`() = test {
            addEngine()
            apply(model)
            for (promptTokens in listOf(-500, Int.MIN_VALUE, Int.MAX_VALUE)) {
                val context = context("r$promptTokens", promptTokens = promptTokens)
                queues.admit(context, 0).get()?.release(context.expectedTokens.toLong())
            }
            expectThat(queues.admitted()[MODEL]).isEqualTo(0)
        }

        /** Guards against queues of removed services that are kept for as long as the process. */
        @Test
        fun `that is removed has no queue once its last request has ended`() = test {
            addEngine()
            apply(model)
            val running = admit("r")
            apply(service = null)
            running.await().get()?.release(170)
            apply(service = null)
            expectThat(queues.admitted()[MODEL]).isNull()
        }
    }
}
