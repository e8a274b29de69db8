package bed;

import java.util.ArrayList;
import java.util.List;

/** Builds the configuration that the operator writes. */
public final class Config {
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();

    public Config route(String prefix, String kind, int timeoutMillis, int targetMillis, String service,
            int attempts, String more) {
        routes.add("{\"Name\":\"r" + routes.size() + "\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"" + prefix
                + "\",\"RouteKind\":\"" + kind + "\",\"TimeoutMs\":" + timeoutMillis + ",\"LatencyTargetMs\":"
                + targetMillis + ",\"Priority\":2,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
                + ",\"Public\":false" + more + "}");
        return this;
    }

    public Config service(String name) {
        services.add("{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":1068,\"Protocol\":\"h1\","
                + "\"Tls\":false}");
        return this;
    }

    public String json(int version) {
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
                + String.join(",", services) + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"key-one\"]}]}";
    }
}
