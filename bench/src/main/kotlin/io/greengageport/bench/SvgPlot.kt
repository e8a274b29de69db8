package io.greengageport.bench

import java.io.StringWriter
import java.util.Locale
import javax.xml.stream.XMLOutputFactory
import javax.xml.stream.XMLStreamWriter

/**
 * Plots the results of an experiment.
 *
 * For each rank it shows the p95 of the first token and the answered share per second, with one
 * line for each variant and a vertical line for each event. Sizes are in SVG user units.
 */
internal class SvgPlot(private val result: ExperimentResult) {
    private val text = StringWriter()
    private val writer: XMLStreamWriter = XMLOutputFactory.newInstance().createXMLStreamWriter(text)
    private val ranks = result.variants.flatMap { v -> v.seconds.map { it.rank } }.distinct()
    private val height = TOP + ranks.size * ROW_HEIGHT + bottom

    /** Returns the plot as an SVG document; can be called once. */
    fun render(): String {
        writer.writeStartElement("svg")
        writer.writeAttribute("xmlns", "http://www.w3.org/2000/svg")
        addAttributes("viewBox" to "0 0 $WIDTH $height", "font-family" to "sans-serif")
        addAttributes("font-size" to "11", "width" to "$WIDTH", "height" to "$height")
        addTag("rect", "width" to "$WIDTH", "height" to "$height", "fill" to "white")
        drawLabel(LEFT, 16.0, "${result.name}, seed ${result.seed}")
        drawLegend()
        ranks.forEachIndexed { i, rank ->
            val y = TOP + i * ROW_HEIGHT
            drawPanel(LEFT, y, "$rank: p95 first token, ms", series(rank) { it.p95FirstToken })
            drawPanel(
                LEFT + PANEL_WIDTH + PANEL_GAP,
                y,
                "$rank: answered, %",
                series(rank, ::answeredPercent)
            )
        }
        result.events.forEachIndexed { i, e ->
            drawLabel(
                LEFT,
                height - bottom + 14.0 + i * TEXT_LINE_HEIGHT,
                "${e.atSeconds} s: ${e.what.take(110)}"
            )
        }
        writer.writeEndElement()
        writer.close()
        return text.toString()
    }

    private fun answeredPercent(s: SecondRow): Double? =
        if (s.offered == 0) null else s.answered * PERCENT / s.offered

    private fun series(rank: String, value: (SecondRow) -> Double?) = result.variants.map { v ->
        v.seconds.filter { it.rank == rank }.mapNotNull { s -> value(s)?.let { s.second to it } }
    }

    private fun drawLegend() = result.variants.forEachIndexed { i, v ->
        val x = LEFT + PANEL_WIDTH + PANEL_GAP + i * LEGEND_STEP
        drawLine(x, 12.0, x + 20, 12.0, COLOURS[i % COLOURS.size])
        drawLabel(x + 25, 16.0, v.name)
    }

    private fun drawPanel(
        x: Double,
        y: Double,
        title: String,
        lines: List<List<Pair<Int, Double>>>
    ) {
        val top = maxOf(1.0, lines.flatten().maxOfOrNull { it.second } ?: 1.0)
        drawLabel(x, y - 4, "$title (0 to ${String.format(Locale.ROOT, "%.0f", top)})")
        addTag(
            "rect",
            "x" to format(x),
            "y" to format(y),
            "width" to format(PANEL_WIDTH),
            "height" to format(PANEL_HEIGHT),
            "fill" to "none",
            "stroke" to "#bbb"
        )
        val perSecond = PANEL_WIDTH / result.durationSeconds
        for (e in result.events) {
            val at = x + e.atSeconds * perSecond
            drawLine(at, y, at, y + PANEL_HEIGHT, "#ccc")
        }
        lines.forEachIndexed { i, points ->
            val path = points.joinToString(" ") { (s, v) ->
                "${format(x + (s + 0.5) * perSecond)},${format(y + PANEL_HEIGHT * (1 - v / top))}"
            }
            addTag(
                "polyline",
                "points" to path,
                "fill" to "none",
                "stroke" to COLOURS[i % COLOURS.size],
                "stroke-width" to "1.5"
            )
        }
    }

    private fun drawLine(x1: Double, y1: Double, x2: Double, y2: Double, colour: String) = addTag(
        "line",
        "x1" to format(x1),
        "y1" to format(y1),
        "x2" to format(x2),
        "y2" to format(y2),
        "stroke" to colour,
        "stroke-width" to "1.5"
    )

    private fun drawLabel(x: Double, y: Double, value: String) {
        writer.writeStartElement("text")
        addAttributes("x" to format(x), "y" to format(y))
        writer.writeCharacters(value)
        writer.writeEndElement()
    }

    private fun addTag(name: String, vararg values: Pair<String, String>) {
        writer.writeEmptyElement(name)
        addAttributes(*values)
    }

    private fun addAttributes(vararg values: Pair<String, String>) =
        values.forEach { (k, v) -> writer.writeAttribute(k, v) }

    private fun format(x: Double) = String.format(Locale.ROOT, "%.1f", x)

    private val bottom get() = 10 + result.events.size * TEXT_LINE_HEIGHT

    private companion object {
        const val WIDTH = 860
        const val LEFT = 20.0
        const val TOP = 44.0
        const val PANEL_WIDTH = 395.0
        const val PANEL_GAP = 30.0
        const val PANEL_HEIGHT = 110.0
        const val ROW_HEIGHT = 140.0
        const val TEXT_LINE_HEIGHT = 14.0
        const val LEGEND_STEP = 110.0
        const val PERCENT = 100.0
        val COLOURS = listOf("#c0392b", "#1f618d", "#239b56", "#7d3c98")
    }
}
