package io.greengageport.cli

import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command

/** The root command: runs entry instances and provides the commands for operators. */
@Command(
    name = "greengageport",
    description = ["Router for model pipelines over mixed accelerators and for plain services."],
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider::class,
    subcommands = [
        RunCommand::class,
        GatewayCommand::class,
        CheckCommand::class,
        SettingsCommand::class,
        StatusCommand::class,
        DrainCommand::class,
        ExplainCommand::class,
        KeyHashCommand::class,
        AutoComplete.GenerateCompletion::class
    ],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = [
        "0:success",
        "1:the program failed",
        "2:invalid command line",
        "3:a settings file has errors",
        "4:the instance cannot be reached or rejects the key",
        "5:the change was rejected",
        "6:the fate of the change is not known yet",
        "7:the change was not published because the log is not available",
        "8:nothing found"
    ]
)
internal class Program

/** The exit codes of the commands. */
internal object ExitCodes {
    const val OK = 0
    const val FAILED = 1
    const val USAGE = 2
    const val BAD_FILE = 3
    const val UNREACHABLE = 4
    const val REJECTED = 5
    const val UNDECIDED = 6
    const val NOT_PUBLISHED = 7
    const val NOT_FOUND = 8
}

/** Reads the version from the jar's manifest. */
internal class VersionProvider : CommandLine.IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("greengageport ${Program::class.java.`package`.implementationVersion ?: "dev"}")
}

/**
 * Creates the command line.
 *
 * An uncaught exception is printed as one line; its stack trace follows if the environment variable
 * `GREENGAGEPORT_TRACE` is set.
 */
internal fun commandLine(command: Any = Program()): CommandLine = CommandLine(command)
    .setCaseInsensitiveEnumValuesAllowed(true)
    .setExecutionExceptionHandler { e, _, _ ->
        System.err.println("greengageport failed: $e")
        if (System.getenv("GREENGAGEPORT_TRACE") != null) e.printStackTrace()
        ExitCodes.FAILED
    }

/** Runs the command line [args] and returns the exit code; [signals] are those of the process. */
internal fun execute(args: Array<String>, signals: ProcessSignals): Int {
    // Instances start often and on slow machines. Building only their command shortens the startup.
    val command = when (args.firstOrNull()) {
        GATEWAY -> GatewayCommand(signals)
        RUN -> RunCommand(signals)
        else -> return commandLine().execute(*args)
    }
    return commandLine(command).setCommandName("greengageport ${args[0]}")
        .execute(*args.drop(1).toTypedArray())
}

/** The name of [GatewayCommand]. */
internal const val GATEWAY = "gateway"

/** The name of [RunCommand]. */
internal const val RUN = "run"
