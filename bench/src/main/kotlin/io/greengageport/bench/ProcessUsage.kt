package io.greengageport.bench

import java.nio.file.Files
import java.nio.file.Path

/** CPU time and resident memory of a process, from the proc file system. */
internal data class ProcessUsage(val cpuSeconds: Double, val residentMegabytes: Double) {
    companion object {
        /** Clock ticks per second of `/proc/PID/stat`, fixed by the kernel's interface. */
        private const val TICKS_PER_SECOND = 100.0
        private const val USER_TIME = 11
        private const val SYSTEM_TIME = 12
        private const val KILOBYTES = 1_024.0

        /** Usage of the process [pid] until now. */
        fun of(pid: Long): ProcessUsage {
            val proc = Path.of("/proc", pid.toString())
            return parse(
                Files.readString(proc.resolve("stat")),
                Files.readString(proc.resolve("status"))
            )
        }

        /** Reads [stat] and [status]; the command's name in [stat] may hold spaces. */
        fun parse(stat: String, status: String): ProcessUsage {
            val fields = stat.substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TIME].toLong() + fields[SYSTEM_TIME].toLong()
            val resident = status.lineSequence().first { it.startsWith("VmRSS:") }
                .filter { it.isDigit() }.toLong()
            return ProcessUsage(ticks / TICKS_PER_SECOND, resident / KILOBYTES)
        }
    }
}
