package io.greengageport.bench

import java.nio.file.Files
import java.nio.file.Path

/**
 * Resources that a process has used since its start, from `/proc`.
 *
 * [transferredBytes] are those of all read and write calls: sockets with their HTTP headers, log
 * lines and wake-up pipes, hence an upper bound of the traffic. TCP/IP headers are not in it.
 */
internal data class ProcessUse(
    val atNanos: Long,
    val cpuMillis: Double,
    val residentBytes: Long,
    val transferredBytes: Long
) {
    /** CPU time since [before] in per cent of a core. */
    fun cpuPercentSince(before: ProcessUse): Double =
        (cpuMillis - before.cpuMillis) / secondsSince(before) / MILLIS_PER_SECOND * PERCENT

    /** Bytes per second since [before]. */
    fun bytesPerSecondSince(before: ProcessUse): Double =
        (transferredBytes - before.transferredBytes) / secondsSince(before)

    private fun secondsSince(before: ProcessUse) = (atNanos - before.atNanos) / NANOS_PER_SECOND

    companion object {
        private const val NANOS_PER_SECOND = 1e9
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val PERCENT = 100.0
        private const val BYTES_PER_KIB = 1_024L

        /** The use of the process [pid], which has not ended. */
        fun of(pid: Long): ProcessUse {
            val handle = ProcessHandle.of(pid).orElseThrow()
            val cpu = handle.info().totalCpuDuration().orElseThrow()
            val io = fields(pid, "io")
            val resident = fields(pid, "status").getValue("VmRSS").substringBefore(" kB").trim()
            return ProcessUse(
                System.nanoTime(),
                cpu.toNanos() / (NANOS_PER_SECOND / MILLIS_PER_SECOND),
                resident.toLong() * BYTES_PER_KIB,
                io.getValue("rchar").toLong() + io.getValue("wchar").toLong()
            )
        }

        private fun fields(pid: Long, file: String): Map<String, String> =
            Files.readAllLines(Path.of("/proc/$pid/$file"))
                .associate { it.substringBefore(':') to it.substringAfter(':').trim() }
    }
}
