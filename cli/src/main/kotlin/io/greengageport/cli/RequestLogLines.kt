package io.greengageport.cli

import java.io.BufferedReader
import java.nio.file.Files
import java.nio.file.Path

/**
 * Collects the log lines of one request from several instances, sorted by time.
 *
 * A line belongs to the request if it contains the field `request=ID`. A log collector may have
 * added the name of the instance anywhere in the line.
 */
internal class RequestLogLines(private val id: String) {
    private val lines = ArrayList<String>()

    /** Reads a log file, or standard input if [file] is `-`. */
    fun read(file: Path) {
        if (file.toString() == STANDARD_INPUT) {
            System.`in`.bufferedReader().use(::read)
        } else {
            Files.newBufferedReader(file).use(::read)
        }
    }

    /** Adds the lines of the request from [reader]. */
    fun read(reader: BufferedReader): Unit = reader.forEachLine { line ->
        if (line.split(' ').any { it == "request=$id" }) lines += line
    }

    /** Returns the lines sorted by time; lines without a time come last. */
    fun sorted(): List<String> = lines.sortedBy { TIME.find(it)?.value ?: LAST }

    private companion object {
        const val STANDARD_INPUT = "-"

        /** Timestamps have a fixed number of digits, so they can be sorted as text. */
        val TIME = Regex("\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3}")
        const val LAST = "9999"
    }
}
