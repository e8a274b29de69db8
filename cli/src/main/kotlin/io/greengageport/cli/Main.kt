package io.greengageport.cli

import kotlin.system.exitProcess

/**
 * Entry point of the program.
 *
 * A signal that arrives before the handlers are installed ends the process. This file therefore
 * refers to nothing else that has to be loaded first, such as the command line.
 */
public fun main(args: Array<String>) {
    val command = if (args.isNotEmpty()) args[0] else ""
    val signals = ProcessSignals(reportsStopSignal = command == RUN)
    if (command == RUN || command == GATEWAY) signals.install()
    exitProcess(execute(args, signals))
}
