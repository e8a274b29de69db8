package io.greengageport.cli

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.Decision
import io.greengageport.entry.InstanceStatus
import java.io.IOException
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Shows instances, runners, services and the current settings version. */
@Command(
    name = "status",
    description = ["Shows instances, runners, services and the current settings version."],
    mixinStandardHelpOptions = true
)
internal class StatusCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Option(names = ["--all"], description = ["Queries all instances that this one knows."])
    var isAll: Boolean = false

    override fun call(): Int {
        val first = options.client().get("/admin/status").getOrElse { return reportError(it) }
        val own = cliJson.decodeFromString<InstanceStatus>(first)
        val others = if (isAll) own.members.filter { it.id != own.instance } else emptyList()
        val unreachable = mutableListOf<String>()
        val statuses = listOf(own) + others.mapNotNull { m ->
            options.client(m.adminAddress).get("/admin/status").fold(
                success = { cliJson.decodeFromString<InstanceStatus>(it) },
                failure = {
                    unreachable += m.id.value
                    null
                }
            )
        }
        if (options.isJson) printJson(statuses) else print(statuses, unreachable)
        return if (unreachable.isEmpty()) ExitCodes.OK else ExitCodes.UNREACHABLE
    }

    private fun print(statuses: List<InstanceStatus>, unreachable: List<String>) {
        val head = "INSTANCE,DATA CENTRE,READY,SETTINGS,CURRENT,IN FLIGHT,MEMBERS".split(",")
        printTable(listOf(head) + statuses.map(::row) + unreachable.map { unreachableRow(it) })
        val s = statuses.first()
        println()
        printTable(
            listOf("SERVICE,QUEUED,IN FLIGHT,SLOTS,FLEET BOUND (tokens/s)".split(",")) +
                s.services.map {
                    val bound = "%.0f".format(it.boundTokensPerSecond)
                    listOf("${it.name}", "${it.queued}", "${it.inFlight}", "${it.slots}", bound)
                }
        )
        println()
        printTable(
            listOf("RUNNER,SERVICE,DATA CENTRE,LAYERS,STATE,ADDRESS".split(",")) +
                s.runners.map {
                    listOf(
                        "${it.id}",
                        "${it.service}",
                        "${it.dataCentre}",
                        it.layers,
                        it.state,
                        it.address
                    )
                }
        )
    }

    private fun row(s: InstanceStatus) = listOf(
        "${s.instance}",
        "${s.dataCentre}",
        "${s.ready}",
        "${s.settings.version}",
        "${s.settings.current}",
        "${s.requestsInFlight}",
        "${s.members.size}"
    )

    private fun unreachableRow(id: String) = listOf(id, "unreachable", "", "", "", "", "")
}

/** Starts the graceful shutdown of an instance. */
@Command(
    name = "drain",
    description = ["Stops an instance gracefully: it finishes its requests and exits."],
    mixinStandardHelpOptions = true
)
internal class DrainCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    override fun call(): Int {
        options.client().post("/admin/drain", "").getOrElse { return reportError(it) }
        if (options.isJson) {
            printJson(
                emptyMap<String, String>()
            )
        } else {
            println("draining ${options.admin}")
        }
        return ExitCodes.OK
    }
}

/** Shows the routing decisions about a request. */
@Command(
    name = "explain",
    description = [
        "Shows the recent decisions about a request, by its Greengage-Request-Id.",
        "Query the instance that accepted it; each stores the last 4096 requests."
    ],
    mixinStandardHelpOptions = true
)
internal class ExplainCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(paramLabel = "REQUEST-ID", description = ["Value of Greengage-Request-Id."])
    lateinit var id: String

    @Option(
        names = ["--logs"],
        paramLabel = "FILE",
        arity = "1..*",
        description = ["Reads log files of any instances instead; - for standard input."]
    )
    var logs: List<Path> = emptyList()

    override fun call(): Int = if (logs.isEmpty()) askInstance() else readLogs()

    private fun readLogs(): Int {
        val logLines = RequestLogLines(id)
        try {
            logs.forEach(logLines::read)
        } catch (e: IOException) {
            System.err.println("cannot read the logs: $e")
            return ExitCodes.FAILED
        }
        val lines = logLines.sorted()
        lines.forEach(::println)
        if (lines.isEmpty()) System.err.println("no log line for $id in ${logs.joinToString()}")
        return if (lines.isEmpty()) ExitCodes.NOT_FOUND else ExitCodes.OK
    }

    private fun askInstance(): Int {
        val text = options.client().get("/admin/decisions/${urlEncoded(id)}").getOrElse {
            return reportError(it)
        }
        val list = cliJson.decodeFromString<List<Decision>>(text)
        if (options.isJson) {
            printJson(list)
        } else {
            list.forEach { println("${Instant.ofEpochMilli(it.atMillis)}\t${it.part}: ${it.text}") }
        }
        if (list.isEmpty()) {
            System.err.println(
                "no decision about request $id is stored at ${options.admin}; " +
                    "query the instance that accepted the request"
            )
        }
        return if (list.isEmpty()) ExitCodes.NOT_FOUND else ExitCodes.OK
    }
}
