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
    /** Guards against steps without items, which keep the next items waiting and look like work. */
    @Test
    fun `runs no step without items`() = runBlocking<Unit> {
        val scheduler = StepScheduler(stepMillis = 2, batch = 2)
        withContext(Dispatchers.Default) {
            coroutineScope {
                scheduler.start(this)
                repeat(5) { scheduler.run(priority = 0) }
                List(2) { launch { scheduler.run(priority = 0, items = 3, part = 0.5) } }.joinAll()
                repeat(5) { scheduler.run(priority = 0) }
                coroutineContext.cancelChildren()
            }
        }
        val pairs = scheduler.batches - 10
        expectThat(pairs in 3..6).describedAs("$pairs steps for two times three items")
            .isEqualTo(true)
        expectThat(scheduler.queued).isEqualTo(0)
    }
}
