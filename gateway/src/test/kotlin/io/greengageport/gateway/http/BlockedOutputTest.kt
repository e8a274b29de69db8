package io.greengageport.gateway.http

import io.greengageport.gateway.logging.DecisionLog
import io.netty.channel.embedded.EmbeddedChannel
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

/** Guards against lines of the log that block the only thread while nobody reads the output. */
class BlockedOutputTest {
    private val isRead = CountDownLatch(1)
    private val standardError = System.err
    private val standardOutput = System.out

    private val blocked = PrintStream(object : OutputStream() {
        override fun write(b: Int) = isRead.await()
    })

    @BeforeEach
    fun block() {
        System.setErr(blocked)
        System.setOut(blocked)
    }

    @AfterEach
    fun restore() {
        isRead.countDown()
        System.setErr(standardError)
        System.setOut(standardOutput)
    }

    @Test
    fun `An error of a connection is logged without waiting for a reader`() {
        val isHandled = CountDownLatch(1)
        thread(isDaemon = true) {
            val channel = EmbeddedChannel()
            channel.pipeline().addLast(HttpChannel(channel, DecisionLog()))
            channel.pipeline().fireExceptionCaught(IllegalStateException("invalid data"))
            isHandled.countDown()
        }
        expectThat(isHandled.await(5, TimeUnit.SECONDS)).isTrue()
    }
}
