package io.greengageport.bench

import java.io.StringWriter
import java.util.Locale
import javax.xml.stream.XMLOutputFactory
import javax.xml.stream.XMLStreamWriter

/**
 * Plots an experiment: for each rank the p95 of the first token and the answered share per second,
 * one line for each variant, with the events as vertical lines.
 */
internal class SvgPlot(private val result: ExperimentResult) {
    private val text = StringWriter()
    private val out: XMLStreamWriter = XMLOutputFactory.newInstance().createXMLStreamWriter(text)
    private val ranks = result.variants.flatMap { v -> v.seconds.map { it.rank } }.distinct()
    private val height = TOP + ranks.size * ROW + bottom

    /** The plot as an SVG document. */
    fun render(): String {
        out.writeStartElement("svg")
        out.writeAttribute("xmlns", "http://www.w3.org/2000/svg")
        attributes("viewBox" to "0 0 $WIDTH $height", "font-family" to "sans-serif")
        attributes("font-size" to "11", "width" to "$WIDTH", "height" to "$height")
        element("rect", "width" to "$WIDTH", "height" to "$height", "fill" to "white")
        label(LEFT, 16.0, "${result.name}, seed ${result.seed}")
        legend()
        ranks.forEachIndexed { i, rank ->
            val y = TOP + i * ROW
            panel(LEFT, y, "$rank: p95 first token, ms", series(rank) { it.p95FirstToken })
            panel(LEFT + PANEL + GAP, y, "$rank: answered, %", series(rank, ::answeredPercent))
        }
        result.events.forEachIndexed { i, e ->
            label(LEFT, height - bottom + 14.0 + i * LINE, "${e.atSeconds} s: ${e.what.take(110)}")
        }
        out.writeEndElement()
        out.close()
        return text.toString()
    }

    private fun answeredPercent(s: SecondRow): Double? =
        if (s.offered == 0) null else s.answered * PERCENT / s.offered

    private fun series(rank: String, value: (SecondRow) -> Double?) = result.variants.map { v ->
        v.seconds.filter { it.rank == rank }.mapNotNull { s -> value(s)?.let { s.second to it } }
    }

    private fun legend() = result.variants.forEachIndexed { i, v ->
        val x = LEFT + PANEL + GAP + i * LEGEND_STEP
        line(x, 12.0, x + 20, 12.0, COLOURS[i % COLOURS.size])
        label(x + 25, 16.0, v.name)
    }

    private fun panel(x: Double, y: Double, title: String, lines: List<List<Pair<Int, Double>>>) {
        val top = maxOf(1.0, lines.flatten().maxOfOrNull { it.second } ?: 1.0)
        label(x, y - 4, "$title (0 to ${String.format(Locale.ROOT, "%.0f", top)})")
        element(
            "rect",
            "x" to number(x),
            "y" to number(y),
            "width" to number(PANEL),
            "height" to number(PLOT),
            "fill" to "none",
            "stroke" to "#bbb"
        )
        val perSecond = PANEL / result.durationSeconds
        for (e in result.events) {
            val at = x + e.atSeconds * perSecond
            line(at, y, at, y + PLOT, "#ccc")
        }
        lines.forEachIndexed { i, points ->
            val path = points.joinToString(" ") { (s, v) ->
                "${number(x + (s + 0.5) * perSecond)},${number(y + PLOT * (1 - v / top))}"
            }
            element(
                "polyline",
                "points" to path,
                "fill" to "none",
                "stroke" to COLOURS[i % COLOURS.size],
                "stroke-width" to "1.5"
            )
        }
    }

    private fun line(x1: Double, y1: Double, x2: Double, y2: Double, colour: String) = element(
        "line",
        "x1" to number(x1),
        "y1" to number(y1),
        "x2" to number(x2),
        "y2" to number(y2),
        "stroke" to colour,
        "stroke-width" to "1.5"
    )

    private fun label(x: Double, y: Double, value: String) {
        out.writeStartElement("text")
        attributes("x" to number(x), "y" to number(y))
        out.writeCharacters(value)
        out.writeEndElement()
    }

    private fun element(name: String, vararg values: Pair<String, String>) {
        out.writeEmptyElement(name)
        attributes(*values)
    }

    private fun attributes(vararg values: Pair<String, String>) =
        values.forEach { (k, v) -> out.writeAttribute(k, v) }

    private fun number(x: Double) = String.format(Locale.ROOT, "%.1f", x)

    private val bottom get() = 10 + result.events.size * LINE

    private companion object {
        const val WIDTH = 860
        const val LEFT = 20.0
        const val TOP = 44.0
        const val PANEL = 395.0
        const val GAP = 30.0
        const val PLOT = 110.0
        const val ROW = 140.0
        const val LINE = 14.0
        const val LEGEND_STEP = 110.0
        const val PERCENT = 100.0
        val COLOURS = listOf("#c0392b", "#1f618d", "#239b56", "#7d3c98")
    }
}
