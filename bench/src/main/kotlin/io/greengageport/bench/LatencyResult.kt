package io.greengageport.bench

import java.util.Locale
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Latency and cost of one instance; latencies are of whole short answers, in milliseconds. */
@Serializable
internal data class LatencyResult(
    val rate: Double,
    val seed: Long,
    val machine: Machine,
    val direct: Percentiles,
    val routed: Percentiles,
    /** Number of requests that failed or had a wrong answer. */
    val failed: Int,
    @SerialName("saturated_tokens") val saturatedTokens: Long,
    @SerialName("saturated_seconds") val saturatedSeconds: Double,
    @SerialName("saturated_cpu_seconds") val saturatedCpuSeconds: Double,
    /** CPU seconds of the instance per second at [rate]. */
    @SerialName("cpu_share_at_rate") val cpuShareAtRate: Double,
    @SerialName("resident_at_rest_mb") val residentAtRestMebibytes: Double,
    @SerialName("resident_under_load_mb") val residentUnderLoadMebibytes: Double
) {
    val addedP50: Double get() = routed.p50 - direct.p50
    val addedP99: Double get() = routed.p99 - direct.p99
    val tokensPerCpuSecond: Double get() = saturatedTokens / saturatedCpuSeconds

    /** Formats the result as Markdown tables. */
    fun toMarkdown(): String = buildString {
        appendLine("### latency")
        appendLine()
        appendLine(
            "Seed $seed, ${whole(rate)} requests/s, ${machine.cores} cores, load average " +
                "${whole(machine.loadBefore)} before and ${whole(machine.loadAfter)} after."
        )
        appendLine()
        appendLine("| figure | direct | through one instance | added | aim |")
        appendLine("| --- | --- | --- | --- | --- |")
        appendLine(
            "| p50, ms | ${hundredths(direct.p50)} | ${hundredths(routed.p50)} | " +
                "${hundredths(addedP50)} | under 1 |"
        )
        appendLine(
            "| p99, ms | ${hundredths(direct.p99)} | ${hundredths(routed.p99)} | " +
                "${hundredths(addedP99)} | under 5 |"
        )
        appendLine("| requests | ${direct.count} | ${routed.count} | | |")
        appendLine()
        appendLine("| figure of the instance | value | aim |")
        appendLine("| --- | --- | --- |")
        appendLine("| tokens per CPU second | ${whole(tokensPerCpuSecond)} | 26000 |")
        appendLine("| tokens/s when saturated | ${whole(saturatedTokens / saturatedSeconds)} | |")
        appendLine(
            "| cores used when saturated | " +
                "${hundredths(saturatedCpuSeconds / saturatedSeconds)} | |"
        )
        appendLine("| cores used at ${whole(rate)} requests/s | ${hundredths(cpuShareAtRate)} | |")
        appendLine("| resident memory at rest, MB | ${whole(residentAtRestMebibytes)} | |")
        appendLine("| resident memory under load, MB | ${whole(residentUnderLoadMebibytes)} | |")
        appendLine("| failed or wrong answers | $failed | 0 |")
    }

    private fun whole(x: Double) = String.format(Locale.ROOT, "%.0f", x)

    private fun hundredths(x: Double) = String.format(Locale.ROOT, "%.2f", x)
}
