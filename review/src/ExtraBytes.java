import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Idempotent requests at three runners, each of which fails one request in eight with its own 500.
 * For some seconds one runner sends additional bytes after some of its complete answers: the start
 * of a second answer, which it breaks off.
 */
public final class ExtraBytes {
    private static final int CLIENTS = 12;
    private static final int FAILS_EACH = 8;
    private static final int GARBLES_EACH = 34;
    private static final int GARBLE_MILLIS = 5_000;
    private static final String START_OF_ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: text/";

    private static volatile boolean garbles;
    private static volatile boolean stop;
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final AtomicInteger GARBLED = new AtomicInteger();
    private static final Set<String> FAILED = ConcurrentHashMap.newKeySet();
    private static final Set<String> SERVED = ConcurrentHashMap.newKeySet();
    private static final Map<String, Integer> OUTCOMES = new TreeMap<>();
    private static int wrong;

    private ExtraBytes() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), ExtraBytes::check);
    }

    private static void startRunner(Kit.Store store, int number) throws Exception {
        String id = "runner-" + number;
        AtomicInteger answers = new AtomicInteger();
        Kit.Server server = new Kit.Server(Kit.ip(100 + number), (m, c) -> {
            if (m.path().equals("/healthz")) {
                c.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            if (!id.equals(m.header("Expect-Instance"))) {
                c.respond(421, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            String attempt = m.header("Attempt-Id");
            int n = answers.incrementAndGet();
            Kit.note("runner %s: runs %s", id, attempt);
            Kit.sleep(15);
            String headers = "Attempt-Id: " + attempt + "\r\nRunner-Stamp: stamp-" + attempt + "\r\n";
            if (n % FAILS_EACH == 0) {
                FAILED.add(attempt);
                c.respond(500, headers, "failure".getBytes());
                return true;
            }
            SERVED.add(attempt);
            byte[] body = ("answer to " + attempt).getBytes();
            if (number == 1 && garbles && n % GARBLES_EACH == 0) {
                GARBLED.incrementAndGet();
                Kit.note("runner %s: sends additional bytes after %s", id, attempt);
                c.respond(200, headers, body);
                c.send(START_OF_ANSWER);
            } else {
                c.respond(200, headers, body);
            }
            return true;
        });
        Kit.register(store, id, "app", server.address, 20, () -> "ready");
    }

    private static boolean check() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("keyed.op", "config", Kit.configuration(1,
            Kit.route("r", "/p/", "idempotent", "app", 800, 100, 2, ""), Kit.plainService("app"), ""));
        for (int i = 1; i <= 3; i++) startRunner(store, i);
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(2_000);
        for (int i = 0; i < CLIENTS; i++) Kit.thread(() -> send(gateway));
        // Each fault takes a few seconds and comes three times, 3 s apart.
        for (int i = 0; i < 3; i++) {
            garbles = Kit.TROUBLE;
            if (garbles) Kit.log("runner-1 sends additional bytes after one answer in %d", GARBLES_EACH);
            Kit.sleep(GARBLE_MILLIS);
            garbles = false;
            Kit.sleep(3_000);
        }
        stop = true;
        Kit.sleep(2_000);
        synchronized (ExtraBytes.class) {
            Kit.log("answers with additional bytes: %d; outcomes at the clients: %s", GARBLED.get(), OUTCOMES);
            Kit.log("successes whose runner had answered with a failure only: %d", wrong);
            return wrong > 0;
        }
    }

    private static void send(Kit.Gateway gateway) {
        while (!stop) {
            try (Socket s = Kit.connect(gateway.front, 5_000)) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (!stop) {
                    String id = "a" + IDS.incrementAndGet();
                    Kit.note("client: sends %s", id);
                    s.getOutputStream().write(("GET /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer keya\r\n\r\n").getBytes());
                    Kit.Message m = Kit.readMessage(in);
                    record(id, m);
                    if (m == null || !m.complete || "close".equals(m.header("Connection"))) break;
                    Kit.sleep(10);
                }
            } catch (IOException e) {
                record("", null);
            }
        }
    }

    private static synchronized void record(String id, Kit.Message m) {
        Kit.note("client: %s is answered with %s", id, m == null ? "nothing" : m.status() + " " + m.text());
        OUTCOMES.merge(m == null ? "closed" : "status " + m.status(), 1, Integer::sum);
        if (m == null || m.status() != 200) return;
        if (m.text().equals("answer to " + id)) return;
        wrong++;
        Kit.log("client %s: status 200, body \"%s\", headers %s; runners failed it: %s, served it: %s", id, m.text(), m.headers,
            FAILED.contains(id), SERVED.contains(id));
    }
}
