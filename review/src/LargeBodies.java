import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send large bodies within MaxBodyBytes, one after another on kept channels, beside
 * clients with small requests. For some seconds there are 2.4 times as many large ones.
 */
public final class LargeBodies {
    private static final int LARGE_BYTES = 4_000_000;
    private static final int USUAL = 14;
    private static final int BURST = 33;
    private static final int BURST_MILLIS = 6_600;
    private static final int SMALL_CLIENTS = 3;
    private static final int SMALL_TIMEOUT_MS = 800;
    private static final int LARGE_TIMEOUT_MS = 3_000;
    private static final int LATE_MS = 500;

    private static volatile boolean stop;
    private static volatile boolean stopBurst;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final Map<String, Integer> LARGE = new TreeMap<>();
    private static final Map<String, Integer> SMALL = new TreeMap<>();

    /** Large and small requests that last longer than their TimeoutMs, and those without an end 0.5 s later. */
    private static final int[] LONG = new int[2];
    private static final int[] LATE = new int[2];

    private LargeBodies() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), LargeBodies::check);
    }

    private static boolean check() throws Exception {
        Kit.Store store = new Kit.Store();
        Kit.Server server = new Kit.Server(Kit.ip(101), (m, c) -> {
            if (m.path().equals("/healthz")) {
                c.respond(200, "Instance-Id: runner-1\r\n", new byte[0]);
                return true;
            }
            Kit.note("runner: runs %s with %d bytes", m.header("Attempt-Id"), m.body.length);
            Kit.sleep(20);
            c.respond(200, "Attempt-Id: " + m.header("Attempt-Id") + "\r\nRunner-Stamp: stamp\r\n", ("got " + m.body.length).getBytes());
            return true;
        });
        Kit.register(store, "runner-1", "app", server.address, 60, () -> "ready");
        store.put("keyed.op", "config", Kit.configuration(1,
            Kit.route("small", "/s/", "non_idempotent", "app", SMALL_TIMEOUT_MS, 100, 1, "") + ","
                + Kit.route("large", "/l/", "non_idempotent", "app", LARGE_TIMEOUT_MS, 1_000, 1, ""), Kit.plainService("app"), ""));
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(1_000);
        for (int i = 0; i < SMALL_CLIENTS; i++) Kit.thread(() -> send(gateway, false, false));
        Kit.sleep(1_000);
        for (int i = 0; i < USUAL; i++) Kit.thread(() -> send(gateway, true, false));
        Kit.sleep(4_000);
        if (Kit.TROUBLE) {
            Kit.log("%d instead of %d clients send large bodies", BURST, USUAL);
            for (int i = USUAL; i < BURST; i++) Kit.thread(() -> send(gateway, true, true));
        }
        Kit.sleep(BURST_MILLIS);
        stopBurst = true;
        Kit.sleep(4_000);
        stop = true;
        // Time for the answers that are still due.
        Kit.sleep(12_000);
        synchronized (LargeBodies.class) {
            Kit.log("large requests: %s", LARGE);
            Kit.log("small requests: %s", SMALL);
            Kit.log("large requests that last longer than %d ms: %d; without an end %d ms later: %d", LARGE_TIMEOUT_MS, LONG[0], LATE_MS, LATE[0]);
            Kit.log("small requests that last longer than %d ms: %d; without an end %d ms later: %d", SMALL_TIMEOUT_MS, LONG[1], LATE_MS, LATE[1]);
            Kit.log("the process runs: %s; out of memory: %d lines of its log", gateway.process.isAlive(),
                gateway.output().lines().filter(l -> l.contains("OutOfMemoryError")).count());
            int late = LATE[0] + LATE[1];
            return late >= 8 && 4 * late > LONG[0] + LONG[1];
        }
    }

    /** Sends requests on kept channels until the end. */
    private static void send(Kit.Gateway gateway, boolean isLarge, boolean isOfBurst) {
        byte[] body = new byte[isLarge ? LARGE_BYTES : 600];
        Arrays.fill(body, (byte) 'x');
        while (!stop && !(isOfBurst && stopBurst)) {
            try (Socket s = Kit.connect(gateway.front, 25_000)) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                boolean isOpen = true;
                while (isOpen && !stop && !(isOfBurst && stopBurst)) {
                    String id = "a" + IDS.incrementAndGet();
                    Kit.note("client: sends %s with %d bytes", id, body.length);
                    String head = "POST /" + (isLarge ? "l" : "s") + "/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: " + (isLarge ? 6_000 : 1_500) + "\r\nAuthorization: Bearer keya\r\nContent-Length: " + body.length + "\r\n\r\n";
                    long start = Kit.now();
                    String outcome;
                    try {
                        s.getOutputStream().write(head.getBytes());
                        s.getOutputStream().write(body);
                        Kit.Message m = Kit.readMessage(in);
                        outcome = m == null ? "closed without an answer" : "status " + m.status();
                        isOpen = m != null && m.complete && !"close".equals(m.header("Connection"));
                    } catch (SocketTimeoutException e) {
                        outcome = "no answer";
                        isOpen = false;
                    } catch (IOException e) {
                        outcome = "closed without an answer";
                        isOpen = false;
                    }
                    Kit.note("client: %s ends after %d ms: %s", id, Kit.now() - start, outcome);
                    record(isLarge, outcome, Kit.now() - start);
                    if (!isLarge) Kit.sleep(30);
                }
            } catch (IOException e) {
                record(isLarge, "no channel", 0);
                Kit.sleep(100);
            }
        }
    }

    private static synchronized void record(boolean isLarge, String outcome, long millis) {
        (isLarge ? LARGE : SMALL).merge(outcome, 1, Integer::sum);
        int timeout = isLarge ? LARGE_TIMEOUT_MS : SMALL_TIMEOUT_MS;
        if (millis >= timeout) LONG[isLarge ? 0 : 1]++;
        if (millis >= timeout + LATE_MS) LATE[isLarge ? 0 : 1]++;
    }
}
