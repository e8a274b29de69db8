package io.greengageport.cli

/** Entry point of the program. */
public fun main(args: Array<String>) {
    println(args.size)
}
