package io.greengageport.bench

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/** Finds out which of our processes opened a TCP connection on loopback, as the kernel tells. */
internal class SocketOwners(private val processes: () -> Map<String, Long>) {
    /** Name of the process that connected from [fromPort] to [toPort], or null if it is none. */
    fun owner(fromPort: Int, toPort: Int): String? {
        val inode = inode(fromPort, toPort) ?: return null
        return processes().entries.firstOrNull { (_, pid) -> holds(pid, "socket:[$inode]") }?.key
    }

    private fun inode(fromPort: Int, toPort: Int): String? {
        val local = ":%04X".format(fromPort)
        val remote = ":%04X".format(toPort)
        return TABLES.asSequence().flatMap { it.readLines().asSequence().drop(1) }
            .map { it.trim().split(SPACES) }
            .firstOrNull { it[LOCAL].endsWith(local) && it[REMOTE].endsWith(remote) }
            ?.get(INODE)
    }

    private fun holds(pid: Long, socket: String): Boolean = try {
        Path.of("/proc/$pid/fd").listDirectoryEntries().any { isLinkTo(it, socket) }
    } catch (e: IOException) {
        // The process has ended.
        false
    }

    private fun isLinkTo(link: Path, target: String): Boolean = try {
        Files.readSymbolicLink(link).toString() == target
    } catch (e: IOException) {
        // The descriptor was closed since the listing.
        false
    }

    private companion object {
        val TABLES = listOf(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"))
        val SPACES = Regex(" +")
        const val LOCAL = 1
        const val REMOTE = 2
        const val INODE = 9
    }
}
