package io.greengageport.gateway.model

/**
 * Finds the route of a host with the longest prefix of a path.
 *
 * Prefixes end with a slash, so a lookup tries the path's own prefixes from the longest; its cost
 * depends on the depth of the path and not on the number of routes.
 */
public class RouteTable(public val routes: List<Route>) {
    private val byHost: Map<String, Map<String, Route>> = routes.groupBy { it.host }
        .mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /** The route for [path] (without its query) at [host], or null. */
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
