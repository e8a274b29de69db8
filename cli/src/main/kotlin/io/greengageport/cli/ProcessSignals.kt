package io.greengageport.cli

import java.util.function.IntConsumer
import sun.misc.Signal
import sun.misc.SignalHandler

/**
 * The signals of a process that serves requests: SIGTERM and SIGINT request a stop, and SIGHUP a
 * reload.
 *
 * Until [tryOpen], nothing listens, so a request to stop ends the process at once with [exitCode].
 * After that, signals go to the receiver of [attach]; those that arrive before it is attached are
 * kept for it.
 *
 * To install the handlers as early as possible, this class loads few others. It has no lambdas and
 * no string templates, which the JVM links at run time.
 */
internal class ProcessSignals(
    private val reportsStopSignal: Boolean = false,
    private val exit: IntConsumer = RuntimeExit()
) : SignalHandler {
    /** Receives signals by their names, such as `TERM`. Its functions must not block. */
    interface Receiver {
        /** Requests a graceful stop; called once for each signal. */
        fun onStop(signal: String)

        /** Requests a reload of the settings. */
        fun onReload(signal: String)
    }

    private enum class Phase { STARTING, OPEN, ENDED }

    private class RuntimeExit : IntConsumer {
        override fun accept(code: Int): Unit = Runtime.getRuntime().exit(code)
    }

    private var phase = Phase.STARTING
    private var receiver: Receiver? = null
    private var stopSignal: String? = null
    private val pending = ArrayList<String>()

    /**
     * The exit code after a graceful stop: [ExitCodes.OK], or if stop signals are reported, 128
     * plus the number of the first signal that requested the stop.
     */
    val exitCode: Int
        @Synchronized get() {
            val name = stopSignal
            if (!reportsStopSignal || name == null) return ExitCodes.OK
            return SIGNAL_CODES + Signal(name).number
        }

    /**
     * Installs the handlers, which replace those of the JVM. A signal that the process was started
     * to ignore, as `nohup` does with SIGHUP, is still ignored.
     */
    fun install() {
        Signal.handle(Signal(HANGUP), this)
        Signal.handle(Signal("TERM"), this)
        Signal.handle(Signal("INT"), this)
    }

    /**
     * Must be called before the process listens. If it returns false, a stop was requested and the
     * process is ending.
     */
    @Synchronized
    fun tryOpen(): Boolean {
        if (phase == Phase.ENDED) return false
        phase = Phase.OPEN
        return true
    }

    /** Passes the signals kept so far, and all later ones, to [receiver]. */
    @Synchronized
    fun attach(receiver: Receiver) {
        this.receiver = receiver
        for (name in pending) pass(name, receiver)
        pending.clear()
    }

    override fun handle(signal: Signal): Unit = onSignal(signal.name)

    /** Handles the signal [name], on any thread. */
    @Synchronized
    fun onSignal(name: String) {
        if (name != HANGUP && stopSignal == null) stopSignal = name
        val attached = receiver
        if (attached != null) {
            pass(name, attached)
        } else if (phase == Phase.STARTING && name != HANGUP) {
            phase = Phase.ENDED
            exit.accept(exitCode)
        } else {
            pending.add(name)
        }
    }

    private fun pass(name: String, receiver: Receiver) {
        if (name == HANGUP) receiver.onReload(name) else receiver.onStop(name)
    }

    private companion object {
        const val HANGUP = "HUP"
        const val SIGNAL_CODES = 128
    }
}
