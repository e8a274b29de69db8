package io.greengageport.cli

import kotlin.system.exitProcess

/**
 * Entry point of the program.
 *
 * A signal that arrives before the handlers are installed ends the process. This file therefore
 * refers to nothing else that has to be loaded first, such as the command line.
 */
public fun main(args: Array<String>) {
    val signals = ProcessSignals()
    if (args.isNotEmpty() && args[0] == GATEWAY) signals.install()
    exitProcess(execute(args, signals))
}
