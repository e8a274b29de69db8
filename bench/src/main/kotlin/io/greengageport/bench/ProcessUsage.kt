package io.greengageport.bench

import java.nio.file.Files
import java.nio.file.Path

/** CPU time of a process since its start and its resident memory, read from `/proc`. */
internal data class ProcessUsage(val cpuSeconds: Double, val residentMebibytes: Double) {
    companion object {
        /** Clock ticks per second in `/proc/PID/stat`, fixed by the kernel interface. */
        private const val TICKS_PER_SECOND = 100.0
        private const val USER_TIME_INDEX = 11
        private const val SYSTEM_TIME_INDEX = 12
        private const val KIB_PER_MIB = 1_024.0

        /** Reads the usage of the running process [pid]. */
        fun of(pid: Long): ProcessUsage {
            val proc = Path.of("/proc", pid.toString())
            return parse(
                Files.readString(proc.resolve("stat")),
                Files.readString(proc.resolve("status"))
            )
        }

        /** Parses `/proc` texts; the command name in [stat] may contain spaces. */
        fun parse(stat: String, status: String): ProcessUsage {
            val fields = stat.substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TIME_INDEX].toLong() + fields[SYSTEM_TIME_INDEX].toLong()
            val resident = status.lineSequence().first { it.startsWith("VmRSS:") }
                .filter { it.isDigit() }.toLong()
            return ProcessUsage(ticks / TICKS_PER_SECOND, resident / KIB_PER_MIB)
        }
    }
}
