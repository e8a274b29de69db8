import java.io.BufferedInputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Resumable streams at three runners, as many as they have slots. The gateway gets SIGTERM, and a
 * little later one runner sends nothing for a time and then goes on. No runner breaks off a stream.
 */
public final class FullService {
    private static final int SLOTS = 10;

    /** How many requests a runner keeps waiting when its slots are taken; further ones get 503. */
    private static final int QUEUE = 3;
    private static final int CLIENTS = 3 * SLOTS;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 50;

    /** Until when the first runner is silent; 0 before. */
    private static volatile long silentUntil;

    private FullService() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), () -> check(Long.parseLong(arguments[1])));
    }

    private static void startRunner(Kit.Store store, int number) throws Exception {
        String id = "runner-" + number;
        Semaphore slots = new Semaphore(SLOTS, true);
        AtomicInteger present = new AtomicInteger();
        Kit.Server server = new Kit.Server(Kit.ip(100 + number), (m, c) -> {
            awaitSpeech(number);
            if (m.path().equals("/healthz")) {
                c.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            String attempt = m.header("Attempt-Id");
            String echo = "Attempt-Id: " + attempt + "\r\n";
            if (!id.equals(m.header("Expect-Instance"))) {
                c.respond(421, echo + "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            if (present.incrementAndGet() > SLOTS + QUEUE) {
                present.decrementAndGet();
                Kit.log("runner %s: is full and turns %s away", id, attempt);
                c.respond(503, echo + "Not-Executed: 1\r\n", new byte[0]);
                return true;
            }
            slots.acquire();
            try {
                run(number, m, c, attempt, echo);
                return true;
            } catch (java.io.IOException e) {
                Kit.log("runner %s: the gateway has closed the channel of %s", id, attempt);
                throw e;
            } finally {
                slots.release();
                present.decrementAndGet();
            }
        });
        Kit.register(store, id, "app", server.address, SLOTS, () -> "ready");
    }

    private static void run(int number, Kit.Message m, Kit.Channel c, String attempt, String echo) throws Exception {
        String last = m.header("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        Kit.log("runner runner-%d: runs %s from event %d", number, attempt, from);
        c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo
            + "Runner-Stamp: stamp-" + attempt + "\r\n\r\n");
        for (int i = from; i <= EVENTS; i++) {
            Kit.sleep(EVENT_MILLIS);
            awaitSpeech(number);
            String event = event(attempt, i);
            c.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        c.send("0\r\n\r\n");
        Kit.log("runner runner-%d: has sent the last event of %s", number, attempt);
    }

    private static void awaitSpeech(int number) {
        while (number == 1 && Kit.now() < silentUntil) Kit.sleep(5);
    }

    private static String event(String attempt, int i) {
        return "id: " + i + "\ndata: event " + i + " of " + attempt + "\n\n";
    }

    private static boolean check(long silenceMillis) throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("keyed.op", "config", Kit.configuration(1,
            Kit.route("r", "/s/", "streaming", "app", 20_000, 500, 2, ",\"Resumable\":true,\"GapGoalMs\":200"), Kit.plainService("app"), ""));
        for (int i = 1; i <= 3; i++) startRunner(store, i);
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(2_000);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        List<String> whole = new ArrayList<>();
        List<String> refused = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        for (int k = 1; k <= CLIENTS; k++) {
            String id = "a" + k;
            Kit.thread(() -> {
                String outcome = request(gateway, id);
                Kit.log("client %s: %s", id, outcome);
                synchronized (whole) {
                    (outcome.equals("whole") ? whole : outcome.startsWith("status") ? refused : lost).add(id);
                }
                done.countDown();
            });
            Kit.sleep(10);
        }
        Kit.sleep(800);
        Kit.log("the gateway gets SIGTERM");
        gateway.process.destroy();
        Kit.sleep(200);
        if (Kit.TROUBLE) {
            Kit.log("runner-1 is silent for %d ms", silenceMillis);
            silentUntil = Kit.now() + silenceMillis;
        }
        if (!done.await(40, TimeUnit.SECONDS)) throw new IllegalStateException("clients without an end");
        gateway.process.waitFor(15, TimeUnit.SECONDS);
        Kit.log("%d streams are whole, %d requests refused, %d broken off or without an answer: %s",
            whole.size(), refused.size(), lost.size(), lost);
        return !lost.isEmpty();
    }

    private static String request(Kit.Gateway gateway, String id) {
        try (Socket s = Kit.connect(gateway.front, 20_000)) {
            Kit.log("client %s: sends its request", id);
            s.getOutputStream().write(("POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer keya\r\nContent-Length: 2\r\n\r\nab").getBytes());
            Kit.Message m = Kit.readMessage(new BufferedInputStream(s.getInputStream()));
            if (m == null) return "closed without an answer";
            if (m.status() != 200) return "status " + m.status();
            StringBuilder expected = new StringBuilder();
            for (int i = 1; i <= EVENTS; i++) expected.append(event(id, i));
            if (m.complete && m.text().contentEquals(expected)) return "whole";
            return (m.complete ? "ended as complete" : "broken off") + " after " + m.text().length() + " of " + expected.length() + " bytes";
        } catch (Exception e) {
            return "closed: " + e;
        }
    }
}
