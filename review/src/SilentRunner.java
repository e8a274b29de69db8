import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers that have neither a length nor chunks, at eight runners. With "stream", they are resumable
 * streams, and in the middle of them one runner sends nothing for a time and then goes on. With
 * "plain", they are whole answers to idempotent requests, and one runner goes dark: it sends
 * nothing at all, its entry goes, and it comes back as a new boot with another id.
 */
public final class SilentRunner {
    private static final int RUNNERS = 8;
    private static final int CLIENTS = 24;
    private static final int PIECES = 40;
    private static final int PIECE_MILLIS = 50;

    /** After three heartbeats of silence the store removes an entry. */
    private static final int ENTRY_MILLIS = 3_600;

    /** Until when the first runner is silent; 0 before. */
    private static volatile long silentUntil;

    /** How often the first runner has ended, and its id. */
    private static volatile int boot;
    private static volatile String firstId = "runner-1";

    private SilentRunner() {}

    public static void main(String[] arguments) throws Exception {
        boolean isStream = arguments[1].equals("stream");
        Kit.main(Path.of(arguments[0]), () -> check(isStream, Long.parseLong(arguments[2])));
    }

    /** Waits while the runner is silent. A channel of a boot that has ended is reset. */
    private static void awaitSpeech(Kit.Channel c, boolean fallsSilent, int bootOfRequest) throws java.io.IOException {
        if (!fallsSilent) return;
        while (Kit.now() < silentUntil) Kit.sleep(5);
        if (boot == bootOfRequest) return;
        c.reset();
        throw new java.io.IOException("the runner has started anew");
    }

    private static Kit.Server startRunner(Kit.Store store, int number, boolean isStream) throws Exception {
        boolean fallsSilent = number == 1;
        Kit.Server server = new Kit.Server(Kit.ip(100 + number), (m, c) -> {
            int ownBoot = boot;
            awaitSpeech(c, fallsSilent, ownBoot);
            String id = fallsSilent ? firstId : "runner-" + number;
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
                awaitSpeech(c, fallsSilent, ownBoot);
                c.send(piece(isStream, attempt, i));
            }
            Kit.log("runner %s: has sent the last piece of %s", id, attempt);
            return false;
        });
        Kit.register(store, "runner-" + number, "app", server.address, 20,
            () -> fallsSilent && (boot > 0 || Kit.now() < silentUntil) ? null : "ready");
        return server;
    }

    /** Ends the boot of the first runner, which is dark now; the next one begins when it speaks again. */
    private static void endBoot(Kit.Store store, Kit.Server server) {
        boot++;
        firstId = "runner-1-again";
        Kit.thread(() -> {
            Kit.sleep(ENTRY_MILLIS);
            store.put("keyed.servers", "runner-1", null);
            Kit.sleep(Math.max(0, silentUntil - Kit.now()));
            Kit.register(store, firstId, "app", server.address, 20, () -> "ready");
        });
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
        Kit.Server first = startRunner(store, 1, isStream);
        for (int i = 2; i <= RUNNERS; i++) startRunner(store, i, isStream);
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(2_000);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        List<String> wrong = new ArrayList<>();
        for (int k = 1; k <= CLIENTS; k++) {
            String id = "a" + k;
            Kit.thread(() -> {
                try (Socket s = Kit.connect(gateway.front, 15_000)) {
                    Kit.log("client %s: sends its request", id);
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
            Kit.log("runner-1 is %s for %d ms", isStream ? "silent" : "dark", silenceMillis);
            silentUntil = Kit.now() + silenceMillis;
            if (!isStream) endBoot(store, first);
        }
        if (!done.await(40, TimeUnit.SECONDS)) throw new IllegalStateException("clients without an end");
        Kit.log("%d answers are whole, %d failed or were broken off, %d ended as complete and are not whole: %s",
            whole.get(), broken.get(), wrong.size(), wrong);
        return !wrong.isEmpty();
    }
}
