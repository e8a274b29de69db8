package io.greengageport.cli

import java.io.BufferedReader
import java.nio.file.Files
import java.nio.file.Path

/**
 * The log lines about one request, over several instances, in the order of their times.
 *
 * A line belongs to the request if it has the field `request=ID`, wherever its log collector put
 * the name of the instance.
 */
internal class LogStory(private val id: String) {
    private val lines = ArrayList<String>()

    /** Takes the lines of a log file, or of standard input for `-`. */
    fun read(file: Path) {
        if (file.toString() == STANDARD_INPUT) {
            System.`in`.bufferedReader().use(::read)
        } else {
            Files.newBufferedReader(file).use(::read)
        }
    }

    fun read(reader: BufferedReader): Unit = reader.forEachLine { line ->
        if (line.split(' ').any { it == "request=$id" }) lines += line
    }

    /** The lines so far in order; a line without a time comes last. */
    fun inOrder(): List<String> = lines.sortedBy { TIME.find(it)?.value ?: LAST }

    private companion object {
        const val STANDARD_INPUT = "-"

        /** Times are written with the same number of digits, so they sort as text. */
        val TIME = Regex("\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3}")
        const val LAST = "9999"
    }
}
