import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, its operator, instances of the gateway. */
final class Site implements AutoCloseable {
    static final String HOST = "service.example";
    static final String KEY = "key-of-the-tenant";

    /** The number of the duty to read the list of runners for all instances. */
    private static final int READER_DUTY = 1;

    final Path root;
    final Path folder;
    final Store store;

    /** The first three numbers of the addresses of the instances; each run has its own. */
    private final String network;
    final List<Kit.Gateway> gateways = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final Map<String, Link> links = new HashMap<>();
    private volatile boolean beats = true;

    /** [caseFolder] is the folder of the case; the root of the repository is two above it. */
    Site(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        Random random = new Random();
        network = "127." + (64 + random.nextInt(128)) + "." + random.nextInt(256) + ".";
        folder = Files.createTempDirectory("review-");
        Kit.openRecord(caseFolder.resolve("record.txt"));
        store = new Store("127.0.0.1", 0);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Kit.spawn(this::heartbeats);
    }

    /** Whether the case is played with its disruption. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Writes a configuration with the given routes and services, JSON with ' for quotes. */
    void configure(long version, String routes, String services) {
        String json = "{'Version':" + version + ",'Routes':[" + routes + "],'Services':["
            + services + "],'Limits':{'MaxHeaderBytes':16384,'MaxBodyBytes':4194304,"
            + "'HeaderTimeoutMs':3000,'IdleTimeoutMs':15000},"
            + "'Tenants':[{'Name':'tenant','ApiKeys':['" + KEY + "'],'Priority':1}]}";
        store.put("keyed.op", "config", json.replace('\'', '"'));
        Kit.log("operator", "configuration " + version + " is acknowledged");
    }

    static String route(String name, String kind, String service, int timeoutMillis,
        int targetMillis) {
        return "{'Name':'" + name + "','Host':'" + HOST + "','PathPrefix':'/" + name
            + "/','RouteKind':'" + kind + "','TimeoutMs':" + timeoutMillis
            + ",'LatencyTargetMs':" + targetMillis + ",'Priority':0,'Service':'" + service
            + "','MaxAttempts':2,'Public':false,'Sticky':false}";
    }

    static String service(String name) {
        return "{'Name':'" + name + "','HealthPath':'/healthz','MaxConns':200,'Protocol':'h1',"
            + "'Tls':false}";
    }

    /** The path of the instance [name] to the store. */
    Link link(String name) {
        return links.get(name);
    }

    /** Has [r] report that it drains. */
    synchronized void drain(Runner r) {
        r.leave();
        long offset = store.put("keyed.servers", r.id, r.entry());
        Kit.log("list", r.id + " reports draining, offset " + offset);
    }

    /** Removes the entry of [r]. */
    synchronized void remove(Runner r) {
        runners.remove(r);
        long offset = store.put("keyed.servers", r.id, "");
        Kit.log("list", "the entry of " + r.id + " is removed, offset " + offset);
    }

    synchronized Runner add(Runner r) {
        runners.add(r);
        long offset = store.put("keyed.servers", r.id, r.entry());
        Kit.log("list", r.id + " registers as ready at " + r.address() + ", offset " + offset);
        return r;
    }

    /**
     * Starts [instances] instances and a plain service of [runners] runners, which are added to
     * [ready], and the clients of [watch]; returns the number of the next runner.
     */
    int startDesk(DrainWatch watch, int instances, int runners, Deque<Runner> ready)
        throws IOException {
        configure(1, route("order", "non_idempotent", "desk", 5_000, 800), service("desk"));
        for (int i = 0; i < runners; i++) ready.add(add(watch.newRunner(i)));
        for (int i = 1; i <= instances; i++) gateway(i);
        for (Kit.Gateway g : gateways) g.awaitReady(20_000);
        watch.startCallers();
        Kit.sleep(4_000);
        return runners;
    }

    /** The name of the instance that has the duty to read the list for all. */
    String reader() {
        return store.owner(READER_DUTY).split("@")[0];
    }

    private void heartbeats() {
        int round = 0;
        while (beats) {
            Kit.sleep(100);
            synchronized (this) {
                for (Runner r : runners) {
                    if (Math.floorMod(r.id.hashCode(), 12) == round % 12) {
                        store.put("keyed.servers", r.id, r.entry());
                    }
                }
            }
            round++;
        }
    }

    Kit.Gateway gateway(int number) throws IOException {
        String name = "edge-" + number;
        Link link = new Link(new InetSocketAddress("127.0.0.1", store.port()));
        links.put(name, link);
        Kit.Gateway g = new Kit.Gateway(root, folder, name, network + number, link.address());
        gateways.add(g);
        g.start();
        return g;
    }

    /** The head of a request of a client, with a length. */
    static String head(String path, String attemptId, int deadlineMillis, int bodyBytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + attemptId
            + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY
            + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    @Override
    public void close() {
        beats = false;
        gateways.forEach(Kit.Gateway::end);
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                if (kept != null && Files.isRegularFile(p)) {
                    Files.copy(p, Path.of(kept).resolve(p.getFileName()),
                        StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(p);
            }
        } catch (IOException e) {
            // Already removed by an earlier call.
        }
    }
}
