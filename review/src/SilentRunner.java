import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers that have neither a length nor chunks, at three runners. In the middle of its answers one
 * runner falls silent for a time, and then goes on. The answers are resumable streams, or whole
 * answers to idempotent requests.
 */
public final class SilentRunner {
    private static final int PIECES = 40;
    private static final int PIECE_MILLIS = 50;

    /** Time from which the first runner is silent, and until when. */
    private static volatile long silentFrom = Long.MAX_VALUE;
    private static volatile long silentUntil = Long.MAX_VALUE;

    private SilentRunner() {}

    public static void main(String[] arguments) throws Exception {
        boolean isStream = arguments[1].equals("stream");
        Kit.main(Path.of(arguments[0]), () -> check(isStream, Long.parseLong(arguments[2])));
    }

    private static Kit.Server startRunner(Kit.Store store, String id, String ip, boolean isStream, boolean fallsSilent) throws Exception {
        Kit.Server server = new Kit.Server(ip, (m, c) -> {
            if (m.path().equals("/healthz")) {
                c.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            if (!id.equals(m.header("Expect-Instance"))) {
                c.respond(421, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            String attempt = m.header("Attempt-Id");
            String last = m.header("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last) + 1;
            Kit.log("runner %s: runs %s from piece %d", id, attempt, from);
            c.send("HTTP/1.1 200 OK\r\nContent-Type: " + (isStream ? "text/event-stream" : "text/plain")
                + "\r\nConnection: close\r\nAttempt-Id: " + attempt + "\r\nRunner-Stamp: stamp-" + attempt + "\r\n\r\n");
            for (int i = from; i <= PIECES; i++) {
                Kit.sleep(PIECE_MILLIS);
                while (fallsSilent && Kit.now() >= silentFrom && Kit.now() < silentUntil) Kit.sleep(5);
                c.send(piece(isStream, attempt, i));
            }
            Kit.log("runner %s: has sent the last piece of %s", id, attempt);
            return false;
        });
        Kit.register(store, id, "app", server.address, 20, () -> "ready");
        return server;
    }

    private static String piece(boolean isStream, String attempt, int i) {
        return isStream ? "id: " + i + "\ndata: piece " + i + " of " + attempt + "\n\n" : "piece " + i + " of " + attempt + ";";
    }

    private static boolean check(boolean isStream, long silenceMillis) throws Exception {
        Kit.Store store = new Kit.Store();
        String route = isStream
            ? Kit.route("r", "/p/", "streaming", "app", 20_000, 500, 2, ",\"Resumable\":true,\"GapGoalMs\":200")
            : Kit.route("r", "/p/", "idempotent", "app", 20_000, 500, 2, "");
        store.put("keyed.op", "config", Kit.configuration(1, route, Kit.plainService("app"), ""));
        startRunner(store, "runner-1", Kit.ip(101), isStream, true);
        startRunner(store, "runner-2", Kit.ip(102), isStream, false);
        startRunner(store, "runner-3", Kit.ip(103), isStream, false);
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(2_000);
        int clients = 12;
        CountDownLatch done = new CountDownLatch(clients);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        List<String> wrong = new ArrayList<>();
        for (int k = 1; k <= clients; k++) {
            String id = "a" + k;
            Kit.thread(() -> {
                try (Socket s = Kit.connect(gateway.front, 15_000)) {
                    s.getOutputStream().write(((isStream ? "POST" : "GET") + " /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer keya\r\n" + (isStream ? "Content-Length: 2\r\n\r\n" + id : "\r\n")).getBytes());
                    InputStream in = new java.io.BufferedInputStream(s.getInputStream());
                    Kit.Message m = Kit.readMessage(in);
                    String text = m == null ? "" : m.text();
                    StringBuilder expected = new StringBuilder();
                    for (int i = 1; i <= PIECES; i++) expected.append(piece(isStream, id, i));
                    boolean isWhole = text.contentEquals(expected);
                    boolean isComplete = m != null && m.complete;
                    Kit.log("client %s: status %s, %d of %d bytes, %s", id, m == null ? "none" : m.status(), text.length(),
                        expected.length(), isComplete ? "ended as complete" : "broken off");
                    synchronized (wrong) {
                        if (isComplete && m.status() == 200 && !isWhole) {
                            wrong.add(id);
                        } else if (isComplete && m.status() == 200) {
                            whole.incrementAndGet();
                        } else {
                            broken.incrementAndGet();
                        }
                    }
                } catch (Exception e) {
                    Kit.log("client %s: %s", id, e);
                    broken.incrementAndGet();
                }
                done.countDown();
            });
            Kit.sleep(20);
        }
        Kit.sleep(800);
        if (Kit.TROUBLE) {
            silentUntil = Kit.now() + silenceMillis;
            silentFrom = Kit.now();
            Kit.log("runner-1 is silent for %d ms", silenceMillis);
        }
        if (!done.await(40, TimeUnit.SECONDS)) throw new IllegalStateException("clients without an end");
        Kit.log("%d answers are whole, %d failed or were broken off, %d ended as complete and are not whole: %s",
            whole.get(), broken.get(), wrong.size(), wrong);
        return !wrong.isEmpty();
    }
}
