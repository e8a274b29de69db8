package io.greengageport.standins

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StepSchedulerTest {
    /** Guards against empty steps, which delay the next items and count as busy time. */
    @Test
    fun `runs no step without items`() = runBlocking<Unit> {
        val scheduler = StepScheduler(stepMillis = 2, batchSize = 2)
        withContext(Dispatchers.Default) {
            coroutineScope {
                scheduler.start(this)
                repeat(5) { scheduler.run(priority = 0) }
                List(2) { launch { scheduler.run(priority = 0, items = 3, layerShare = 0.5) } }
                    .joinAll()
                repeat(5) { scheduler.run(priority = 0) }
                coroutineContext.cancelChildren()
            }
        }
        val pairSteps = scheduler.batches - 10
        expectThat(pairSteps in 3..6)
            .describedAs("$pairSteps steps for two calls of three items each")
            .isEqualTo(true)
        expectThat(scheduler.pendingCalls).isEqualTo(0)
    }
}
