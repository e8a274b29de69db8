package io.greengageport.cli

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.greengageport.entry.Decision
import io.greengageport.entry.InstanceStatus
import java.time.Instant
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

/** Shows instances, runners, services and the settings in force. */
@Command(
    name = "status",
    description = ["Shows instances, runners, services and the settings version in force."],
    mixinStandardHelpOptions = true
)
internal class StatusCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Option(names = ["--all"], description = ["Asks all instances that this one knows."])
    var all: Boolean = false

    override fun call(): Int {
        val first = options.client().get("/admin/status").getOrElse { return report(it) }
        val own = cliJson.decodeFromString<InstanceStatus>(first)
        val others = if (all) own.members.filter { it.id != own.instance } else emptyList()
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
        if (options.json) printJson(statuses) else print(statuses, unreachable)
        return if (unreachable.isEmpty()) ExitCodes.OK else ExitCodes.UNREACHABLE
    }

    private fun print(statuses: List<InstanceStatus>, unreachable: List<String>) {
        println("INSTANCE\tDATA CENTRE\tREADY\tSETTINGS\tCURRENT\tIN FLIGHT\tMEMBERS")
        for (s in statuses) {
            println(
                "${s.instance}\t${s.dataCentre}\t${s.ready}\t${s.settings.version}" +
                    "\t${s.settings.current}\t${s.requestsInFlight}\t${s.members.size}"
            )
        }
        unreachable.forEach { println("$it\tunreachable") }
        val s = statuses.first()
        println("\nSERVICE\tQUEUED\tIN FLIGHT\tSLOTS\tFLEET BOUND (tokens/s)")
        for (x in s.services) {
            val bound = "%.0f".format(x.boundTokensPerSecond)
            println("${x.name}\t${x.queued}\t${x.inFlight}\t${x.slots}\t$bound")
        }
        println("\nRUNNER\tSERVICE\tDATA CENTRE\tLAYERS\tSTATE\tADDRESS")
        for (r in s.runners) {
            println(
                "${r.id}\t${r.service}\t${r.dataCentre}\t${r.layers}\t${r.state}\t${r.address}"
            )
        }
    }
}

/** Drains an instance. */
@Command(
    name = "drain",
    description = ["Stops an instance gracefully: it finishes its requests and ends."],
    mixinStandardHelpOptions = true
)
internal class DrainCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    override fun call(): Int {
        options.client().post("/admin/drain", "").getOrElse { return report(it) }
        println("draining ${options.admin}")
        return ExitCodes.OK
    }
}

/** Shows the decisions about a request. */
@Command(
    name = "explain",
    description = ["Shows the recent decisions about a request, by its Greengage-Request-Id."],
    mixinStandardHelpOptions = true
)
internal class ExplainCommand : Callable<Int> {
    @Mixin
    lateinit var options: AdminOptions

    @Parameters(paramLabel = "REQUEST-ID")
    lateinit var id: String

    override fun call(): Int {
        val text = options.client().get("/admin/decisions/$id").getOrElse { return report(it) }
        val list = cliJson.decodeFromString<List<Decision>>(text)
        if (options.json) {
            printJson(list)
        } else {
            list.forEach { println("${Instant.ofEpochMilli(it.atMillis)}\t${it.part}: ${it.text}") }
        }
        if (list.isEmpty()) System.err.println("no decision about $id is kept at this instance")
        return if (list.isEmpty()) ExitCodes.NOT_FOUND else ExitCodes.OK
    }
}
