package io.greengageport.gateway.model

/**
 * Looks up routes by host and longest path prefix.
 *
 * Prefixes end with a slash, so a lookup tries the prefixes of the path, longest first. Its cost
 * depends on the depth of the path and not on the number of routes.
 */
public class RouteTable(public val routes: List<Route>) {
    private val byHost: Map<String, Map<String, Route>> = routes.groupBy { it.host }
        .mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /**
     * Returns the route for [path] (without query) at [host], or null if there is none. [host] may
     * include a port.
     */
    public fun find(host: String, path: String): Route? {
        val prefixes = byHost[host] ?: byHost[host.substringBefore(':')] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
