import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A small deployment on loopback: a store, runners, gateways and clients. It ends all processes that
 * it started, and removes its temporary folder.
 */
final class Rig implements AutoCloseable {
    /** How a case ends, which is also the status with which the script exits. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final String ZONE = "z-a";
    private static final String HOST = "site.example";
    private static final String KEY = "key-of-tenant-one";
    private static final long LIMIT_MILLIS = 115_000;
    private static final long START_NANOS = System.nanoTime();
    private static final AtomicLong lastId = new AtomicLong(ThreadLocalRandom.current().nextLong());

    final Path repository;
    final Path folder = Files.createTempDirectory("review");
    final Store store = new Store();
    private final PrintWriter record;
    private final int net = ThreadLocalRandom.current().nextInt(1, 250);
    private final List<AutoCloseable> started = new ArrayList<>();

    interface Case {
        /** Runs the case, with the disruption if [hasTrouble]; returns how it ends. */
        int run(Rig rig, boolean hasTrouble) throws Exception;
    }

    private Rig(Path repository, Path recordFile) throws IOException {
        this.repository = repository;
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
    }

    /** Runs [test]; [args] are the repository and the folder of the case. */
    static void run(String[] args, Case test) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Rig rig = new Rig(Path.of(args[0]), Path.of(args[1], "record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
        startThread(() -> {
            sleep(LIMIT_MILLIS);
            rig.record("the case took too long");
            System.exit(NOT_RUN);
        });
        int status;
        try {
            rig.record(hasTrouble ? "with the disruption" : "without the disruption");
            status = test.run(rig, hasTrouble);
        } catch (Exception e) {
            rig.record("the case could not run: " + e);
            status = NOT_RUN;
        }
        String result = status == BROKEN ? "BROKEN" : status == HELD ? "HELD" : "NOT RUN";
        rig.record("result: " + result);
        System.out.println(result);
        System.exit(status);
    }

    /** Adds a line to the record of the case. */
    synchronized void record(String line) {
        record.printf("%7d ms  %s%n", now(), line);
        record.flush();
    }

    Gateway startGateway(int index) throws IOException {
        Gateway gateway = new Gateway(this, index);
        started.add(gateway);
        return gateway;
    }

    Runner startRunner(String id, String service, Http.Handler work) throws IOException {
        Runner runner = new Runner(this, id, service, work);
        started.add(runner);
        return runner;
    }

    String gatewayIp(int index) {
        return "127." + net + ".7." + index;
    }

    /** Writes the configuration with one plain service `app` and [routes] to it. */
    void writeConfiguration(int version, String... routes) {
        store.put("keyed.op", "config", """
            {"Version":%d,"Routes":[%s],
             "Services":[{"Name":"app","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1",
              "Tls":false}],
             "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
              "IdleTimeoutMs":15000},
             "Tenants":[{"Name":"tenant-one","ApiKeys":["%s"],"Priority":1}]}
            """.formatted(version, String.join(",", routes), KEY));
    }

    static String route(String prefix, String kind, int timeoutMillis, int maxAttempts) {
        return """
            {"Name":"r%1$s","Host":"%2$s","PathPrefix":"%1$s","RouteKind":"%3$s","TimeoutMs":%4$d,
             "LatencyTargetMs":121,"Priority":2,"Service":"app","MaxAttempts":%5$d,"Public":false}
            """.formatted(prefix, HOST, kind, timeoutMillis, maxAttempts);
    }

    static String newId() {
        return String.format("%016x", lastId.incrementAndGet());
    }

    /** The bytes of a POST request of a client. Each line of [headers] ends with CR and LF. */
    static byte[] post(String path, String id, long deadlineMillis, String headers, byte[] body) {
        byte[] head = ("POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n"
            + headers + "Content-Length: " + body.length + "\r\n\r\n").getBytes();
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Time since the start in ms, on the steady clock. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void startThread(Runnable work) {
        newThread(work).start();
    }

    static Thread newThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public synchronized void close() {
        for (AutoCloseable s : started) {
            try {
                s.close();
            } catch (Exception e) {
                record.println("not closed: " + e);
            }
        }
        started.clear();
        record.flush();
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // The folder was removed before.
        }
    }
}
