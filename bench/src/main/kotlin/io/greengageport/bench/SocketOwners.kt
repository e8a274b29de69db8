package io.greengageport.bench

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/** Finds the process that opened a TCP connection on loopback, from the tables in `/proc`. */
internal class SocketOwners(private val processes: () -> Map<String, Long>) {
    /** Returns the name of the process that connected from [fromPort] to [toPort], or null. */
    fun findOwner(fromPort: Int, toPort: Int): String? {
        val inode = findInode(fromPort, toPort) ?: return null
        return processes().entries
            .firstOrNull { (_, pid) -> hasSocket(pid, "socket:[$inode]") }?.key
    }

    private fun findInode(fromPort: Int, toPort: Int): String? {
        val local = ":%04X".format(fromPort)
        val remote = ":%04X".format(toPort)
        return TABLES.asSequence().flatMap { it.readLines().asSequence().drop(1) }
            .map { it.trim().split(SPACES) }
            .firstOrNull { it[LOCAL_INDEX].endsWith(local) && it[REMOTE_INDEX].endsWith(remote) }
            ?.get(INODE_INDEX)
    }

    private fun hasSocket(pid: Long, socket: String): Boolean = try {
        Path.of("/proc/$pid/fd").listDirectoryEntries().any { isLinkTo(it, socket) }
    } catch (e: IOException) {
        // The process has ended.
        false
    }

    private fun isLinkTo(link: Path, target: String): Boolean = try {
        Files.readSymbolicLink(link).toString() == target
    } catch (e: IOException) {
        // The descriptor was closed after the directory was listed.
        false
    }

    private companion object {
        val TABLES = listOf(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"))
        val SPACES = Regex(" +")
        const val LOCAL_INDEX = 1
        const val REMOTE_INDEX = 2
        const val INODE_INDEX = 9
    }
}
