package io.greengageport.bench

import java.nio.file.Files
import java.nio.file.Path

/**
 * Resources that a process has used from its start until [atNanos], read from `/proc`.
 *
 * [transferredBytes] counts all read and write calls: sockets with their HTTP headers, log lines
 * and wake-up pipes. It is an upper bound of the network traffic without TCP/IP headers.
 */
internal data class ProcessSample(
    val atNanos: Long,
    val cpuMillis: Double,
    val residentBytes: Long,
    val transferredBytes: Long
) {
    /** CPU usage since [before] in per cent of a core. */
    fun cpuPercentSince(before: ProcessSample): Double =
        (cpuMillis - before.cpuMillis) / secondsSince(before) / MILLIS_PER_SECOND * PERCENT

    /** Bytes per second since [before]. */
    fun bytesPerSecondSince(before: ProcessSample): Double =
        (transferredBytes - before.transferredBytes) / secondsSince(before)

    private fun secondsSince(before: ProcessSample) = (atNanos - before.atNanos) / NANOS_PER_SECOND

    companion object {
        private const val NANOS_PER_SECOND = 1e9
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val PERCENT = 100.0
        private const val BYTES_PER_KIB = 1_024L

        /** Samples the process [pid]; fails if it has ended. */
        fun of(pid: Long): ProcessSample {
            val handle = ProcessHandle.of(pid).orElseThrow()
            val cpu = handle.info().totalCpuDuration().orElseThrow()
            val io = readFields(pid, "io")
            val resident = readFields(pid, "status").getValue("VmRSS").substringBefore(" kB").trim()
            return ProcessSample(
                System.nanoTime(),
                cpu.toNanos() / (NANOS_PER_SECOND / MILLIS_PER_SECOND),
                resident.toLong() * BYTES_PER_KIB,
                io.getValue("rchar").toLong() + io.getValue("wchar").toLong()
            )
        }

        private fun readFields(pid: Long, file: String): Map<String, String> =
            Files.readAllLines(Path.of("/proc/$pid/$file"))
                .associate { it.substringBefore(':') to it.substringAfter(':').trim() }
    }
}
