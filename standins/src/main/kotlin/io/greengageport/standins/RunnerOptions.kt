package io.greengageport.standins

import picocli.CommandLine.Option

/** Command-line options that all stand-ins for backend servers share. */
internal class RunnerOptions {
    @Option(names = ["--listen"], defaultValue = "127.0.0.1:0")
    lateinit var listen: String

    @Option(names = ["--id"], required = true)
    lateinit var id: String

    @Option(names = ["--service"], required = true)
    lateinit var service: String

    @Option(names = ["--data-centre"], defaultValue = "dc1")
    lateinit var dataCentre: String

    @Option(names = ["--platform"], description = ["Base URL of the platform."])
    var platform: String? = null

    @Option(names = ["--advertise"], description = ["Address to register in the instance list."])
    var advertised: String? = null
}
