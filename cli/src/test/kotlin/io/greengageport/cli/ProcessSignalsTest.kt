package io.greengageport.cli

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against signals that are lost, or end a process that may have read requests. */
class ProcessSignalsTest {
    private val exitCodes = ArrayList<Int>()
    private val received = ArrayList<String>()
    private val signals = ProcessSignals(exit = { exitCodes += it })
    private val receiver = object : ProcessSignals.Receiver {
        override fun onStop(signal: String) {
            received += "stop $signal"
        }

        override fun onReload(signal: String) {
            received += "reload $signal"
        }
    }

    @Nested
    inner class `Before the process listens` {
        @ParameterizedTest
        @ValueSource(strings = ["TERM", "INT"])
        fun `a request to stop ends it with 0, and it does not listen`(name: String) {
            signals.onSignal(name)
            expectThat(exitCodes).isEqualTo(arrayListOf(0))
            expectThat(signals.tryOpen()).isFalse()
        }

        @Test
        fun `a repeated request to stop does not end it again`() {
            repeat(2) { signals.onSignal("TERM") }
            expectThat(exitCodes).isEqualTo(arrayListOf(0))
        }

        @Test
        fun `SIGHUP is kept`() {
            signals.onSignal("HUP")
            expectThat(signals.tryOpen()).isTrue()
            signals.attach(receiver)
            expectThat(exitCodes).isEmpty()
            expectThat(received).isEqualTo(arrayListOf("reload HUP"))
        }
    }

    @Nested
    inner class `Once the process may listen` {
        @Test
        fun `signals are kept for the receiver, in order`() {
            signals.tryOpen()
            listOf("HUP", "TERM", "INT").forEach(signals::onSignal)
            signals.attach(receiver)
            signals.onSignal("TERM")
            expectThat(exitCodes).isEmpty()
            expectThat(received)
                .isEqualTo(arrayListOf("reload HUP", "stop TERM", "stop INT", "stop TERM"))
        }
    }

    @Nested
    inner class `If the stop signal is reported` {
        @Test
        fun `the exit code is that of the first one`() {
            val reporting = ProcessSignals(reportsStopSignal = true, exit = { exitCodes += it })
            reporting.tryOpen()
            reporting.attach(receiver)
            expectThat(reporting.exitCode).isEqualTo(0)
            listOf("HUP", "TERM", "INT").forEach(reporting::onSignal)
            expectThat(reporting.exitCode).isEqualTo(143)
        }
    }
}
