package io.greengageport.bench

import java.util.Locale
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Figures of one instance; latencies are of whole short answers, in milliseconds. */
@Serializable
internal data class LatencyResult(
    val rate: Double,
    val seed: Long,
    val machine: Machine,
    val direct: Percentiles,
    val routed: Percentiles,
    /** Requests of all slices that failed or had a wrong answer. */
    val failed: Int,
    @SerialName("saturated_tokens") val saturatedTokens: Long,
    @SerialName("saturated_seconds") val saturatedSeconds: Double,
    @SerialName("saturated_cpu_seconds") val saturatedCpuSeconds: Double,
    /** CPU seconds of the instance per second at [rate]. */
    @SerialName("cpu_share_at_rate") val cpuShareAtRate: Double,
    @SerialName("resident_at_rest_mb") val residentAtRest: Double,
    @SerialName("resident_under_load_mb") val residentUnderLoad: Double
) {
    val addedP50: Double get() = routed.p50 - direct.p50
    val addedP99: Double get() = routed.p99 - direct.p99
    val tokensPerCpuSecond: Double get() = saturatedTokens / saturatedCpuSeconds

    fun toMarkdown(): String = buildString {
        appendLine("### latency")
        appendLine()
        appendLine(
            "Seed $seed, ${f(rate)} requests/s, ${machine.cores} cores, load average " +
                "${f(machine.loadBefore)} before and ${f(machine.loadAfter)} after."
        )
        appendLine()
        appendLine("| figure | direct | through one instance | added | aim |")
        appendLine("| --- | --- | --- | --- | --- |")
        appendLine("| p50, ms | ${g(direct.p50)} | ${g(routed.p50)} | ${g(addedP50)} | under 1 |")
        appendLine("| p99, ms | ${g(direct.p99)} | ${g(routed.p99)} | ${g(addedP99)} | under 5 |")
        appendLine("| requests | ${direct.count} | ${routed.count} | | |")
        appendLine()
        appendLine("| figure of the instance | value | aim |")
        appendLine("| --- | --- | --- |")
        appendLine("| tokens per CPU second | ${f(tokensPerCpuSecond)} | 26000 |")
        appendLine("| tokens/s when saturated | ${f(saturatedTokens / saturatedSeconds)} | |")
        appendLine("| cores used when saturated | ${g(saturatedCpuSeconds / saturatedSeconds)} | |")
        appendLine("| cores used at ${f(rate)} requests/s | ${g(cpuShareAtRate)} | |")
        appendLine("| resident memory at rest, MB | ${f(residentAtRest)} | |")
        appendLine("| resident memory under load, MB | ${f(residentUnderLoad)} | |")
        appendLine("| failed or wrong answers | $failed | 0 |")
    }

    private fun f(x: Double) = String.format(Locale.ROOT, "%.0f", x)

    private fun g(x: Double) = String.format(Locale.ROOT, "%.2f", x)
}
