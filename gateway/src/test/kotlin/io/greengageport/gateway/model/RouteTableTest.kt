package io.greengageport.gateway.model

import io.greengageport.common.ServiceName
import io.greengageport.gateway.route
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against requests that are sent by a route of another host or a shorter prefix. */
class RouteTableTest {
    private val table = RouteTable(
        listOf(route("/a/"), route("/a/b/"), route("/"), route("/a/", host = "other.example"))
    )

    private fun prefix(host: String, path: String) = table.find(host, path)?.pathPrefix

    @Nested
    inner class `The longest prefix` {
        @Test
        fun `wins`() {
            expectThat(prefix("host.example", "/a/b/c")).isEqualTo("/a/b/")
            expectThat(prefix("host.example", "/a/bc")).isEqualTo("/a/")
            expectThat(prefix("host.example", "/x")).isEqualTo("/")
        }

        @Test
        fun `ends at a slash of the path`() {
            expectThat(prefix("other.example", "/ab/c")).isNull()
            expectThat(prefix("other.example", "/a")).isNull()
        }
    }

    @Test
    fun `a host may come with its port`() {
        expectThat(prefix("other.example:8080", "/a/x")).isEqualTo("/a/")
    }

    @Test
    fun `an unknown host has no route`() {
        expectThat(prefix("third.example", "/a/x")).isNull()
    }

    @Test
    fun `a split follows the weights, also with a service that gets nothing`() {
        val split = route().copy(
            targets = persistentListOf(
                WeightedService(ServiceName("x"), 3.0),
                WeightedService(ServiceName("y"), 1.0),
                WeightedService(ServiceName("z"), 0.0)
            )
        )
        val names = (0 until 100).map { split.target(it / 100.0).value }
        expectThat(names.groupingBy { it }.eachCount()).isEqualTo(mapOf("x" to 75, "y" to 25))
    }
}
