package io.greengageport.bench

/** Entry point of the program. */
public fun main(args: Array<String>) {
    println(args.size)
}
