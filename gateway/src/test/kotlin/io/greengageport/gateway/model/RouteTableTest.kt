package io.greengageport.gateway.model

import io.greengageport.common.ServiceName
import io.greengageport.gateway.route
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * Guards against requests that match a route of another host or with a shorter prefix, or that are
 * sent to the services of a route in proportions other than their weights.
 */
class RouteTableTest {
    private val table = RouteTable(
        listOf(route("/a/"), route("/a/b/"), route("/"), route("/a/", host = "other.example"))
    )

    private fun prefix(host: String, path: String) = table.find(host, path)?.pathPrefix

    @Nested
    inner class `The longest prefix` {
        @Test
        fun `is selected`() {
            expectThat(prefix("host.example", "/a/b/c")).isEqualTo("/a/b/")
            expectThat(prefix("host.example", "/a/bc")).isEqualTo("/a/")
            expectThat(prefix("host.example", "/x")).isEqualTo("/")
        }

        @Test
        fun `matches whole path segments only`() {
            expectThat(prefix("other.example", "/ab/c")).isNull()
            expectThat(prefix("other.example", "/a")).isNull()
        }
    }

    @Test
    fun `the host may include a port`() {
        expectThat(prefix("other.example:8080", "/a/x")).isEqualTo("/a/")
    }

    @Test
    fun `an unknown host has no route`() {
        expectThat(prefix("third.example", "/a/x")).isNull()
    }

    @Test
    fun `targets are selected by weight, and one of weight 0 never is`() {
        val weighted = route().copy(
            targets = persistentListOf(
                WeightedService(ServiceName("x"), 3.0),
                WeightedService(ServiceName("y"), 1.0),
                WeightedService(ServiceName("z"), 0.0)
            )
        )
        val names = (0 until 100).map { weighted.selectService(it / 100.0).value }
        expectThat(names.groupingBy { it }.eachCount()).isEqualTo(mapOf("x" to 75, "y" to 25))
    }
}
