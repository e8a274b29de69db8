package bed;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with long bodies, well within MaxBodyBytes, are spread over three gateways. Two of the
 * gateways are lost, and their clients go to the third one, which stays in touch.
 *
 * Counts the requests that were sent whole to the third gateway and are unanswered at TimeoutMs, and
 * those of them that have no answer half a second later.
 */
public final class Uploads {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int CLIENTS = Integer.getInteger("clients", 34);
    private static final int SMALL_CLIENTS = 10;
    private static final int BODY_BYTES = Integer.getInteger("size", 1_310_720);
    private static final int UPLOAD_MILLIS = Integer.getInteger("up", 2_000);
    private static final long USUAL_MILLIS = 6_000;
    private static final long AFTER_MILLIS = Long.getLong("after", 50_000);

    private final Log log;
    private final List<Gateway> gateways = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean isLost;
    private volatile boolean isOver;

    private Uploads(Log log) {
        this.log = log;
    }

    public static void main(String[] args) throws Exception {
        Path directory = Path.of(args[1]);
        int status = 2;
        try (Log log = new Log(Path.of(args[2]))) {
            status = new Uploads(log).run(Path.of(args[0]), directory, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run(Path root, Path directory, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", new Config()
                .route("/puxa403/", "non_idempotent", TIMEOUT_MILLIS, 1_000, "app", 1, "")
                .service("app").json(7));
        for (int i = 0; i < 3; i++) new Runner("i-" + i, "app", "sul-" + "abc".charAt(i), 6, 24, store, log);
        int peerPort = Gateway.freePort("127.0.0.1");
        for (int i = 0; i < 3; i++) {
            gateways.add(new Gateway(root, directory, i, "sul-" + "abc".charAt(i), store.address(), peerPort, log));
        }
        for (Gateway g : gateways) g.start();
        for (Gateway g : gateways) if (!g.awaitReady(20_000)) return 2;
        Thread.sleep(3_500);
        List<Thread> threads = new ArrayList<>();
        for (int g = 0; g < 3; g++) {
            for (int i = 0; i < CLIENTS + SMALL_CLIENTS; i++) {
                int home = g;
                boolean isSmall = i >= CLIENTS;
                long delayMillis = isSmall ? 0 : UPLOAD_MILLIS * i / CLIENTS;
                Thread t = new Thread(() -> call(home, isSmall, delayMillis));
                t.setDaemon(true);
                t.start();
                threads.add(t);
            }
        }
        Thread.sleep(USUAL_MILLIS);
        log.line("usual time over: answered %d, closed %d, unanswered at the timeout %d", answered.get(), closed.get(),
                late.get());
        if (hasTrouble) {
            isLost = true;
            log.line("two machines are lost for good");
            gateways.get(1).close();
            gateways.get(2).close();
        }
        Thread.sleep(AFTER_MILLIS);
        isOver = true;
        for (Thread t : threads) t.join(TIMEOUT_MILLIS + 3_000);
        Gateway survivor = gateways.get(0);
        boolean isReady = survivor.isReady();
        String result = String.format("answered %d, channels closed %d, unanswered at TimeoutMs %d, of these without an "
                        + "answer half a second later %d; the process that stays is alive: %b, ready: %b",
                answered.get(), closed.get(), late.get(), unanswered.get(), survivor.isAlive(), isReady);
        survivor.copyOutput("OutOfMemoryError", 5);
        log.line(result);
        System.out.println(result);
        for (Gateway g : gateways) g.close();
        store.close();
        if (!hasTrouble && answered.get() == 0) return 2;
        return unanswered.get() >= 8 && unanswered.get() * 4 > late.get() ? 1 : 0;
    }

    private void call(int home, boolean isSmall, long delayMillis) {
        byte[] body = new byte[isSmall ? 600 : BODY_BYTES];
        java.util.Arrays.fill(body, (byte) 'b');
        Caller caller = null;
        Gateway at = null;
        try {
            Thread.sleep(delayMillis);
            while (!isOver) {
                Gateway target = gateways.get(isLost ? 0 : home);
                String id = (isSmall ? "order-" : "long-") + ids.incrementAndGet();
                long sentNanos = 0;
                try {
                    if (caller == null || at != target) {
                        if (caller != null) caller.close();
                        caller = new Caller(target, TIMEOUT_MILLIS);
                        at = target;
                    }
                    send(caller, id, body, isSmall ? 0 : UPLOAD_MILLIS);
                    sentNanos = System.nanoTime();
                    Http.Message answer = Http.read(caller.in);
                    if (answer == null) throw new java.io.EOFException("closed");
                    answered.incrementAndGet();
                    if (answer.status() != 200) log.line("client: %s got %s", id, answer.startLine);
                    if ("close".equalsIgnoreCase(answer.header("connection"))) {
                        caller.close();
                        caller = null;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    if (sentNanos != 0 && at == gateways.get(0)) waitLonger(caller, id);
                    close(caller);
                    caller = null;
                } catch (java.io.IOException e) {
                    if (at == gateways.get(0)) {
                        log.line("client: %s, sent whole: %b: %s", id, sentNanos != 0, e);
                        closed.incrementAndGet();
                    }
                    close(caller);
                    caller = null;
                    Thread.sleep(200);
                }
                Thread.sleep(isSmall ? 150 : 50);
            }
        } catch (InterruptedException e) {
            // The run is over.
        } finally {
            close(caller);
        }
    }

    /** The request is unanswered at TimeoutMs after its last byte; it has half a second more. */
    private void waitLonger(Caller caller, String id) {
        late.incrementAndGet();
        try {
            caller.socket.setSoTimeout(500);
            Http.Message answer = Http.read(caller.in);
            log.line("client: %s late, got %s", id, answer == null ? "a close" : answer.startLine);
        } catch (java.net.SocketTimeoutException e) {
            unanswered.incrementAndGet();
            log.line("client: %s has no answer half a second after TimeoutMs", id);
        } catch (java.io.IOException e) {
            log.line("client: %s late, got a close", id);
        }
    }

    private static void send(Caller caller, String id, byte[] body, long millis)
            throws java.io.IOException, InterruptedException {
        OutputStream out = caller.socket.getOutputStream();
        out.write(("POST /puxa403/x HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id
                + "\r\nAuthorization: Bearer key-one\r\nDeadline-Ms: 20000\r\nContent-Length: " + body.length
                + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        long start = System.nanoTime();
        int part = 16_384;
        for (int from = 0; from < body.length; from += part) {
            long waitMillis = millis * from / body.length - (System.nanoTime() - start) / 1_000_000;
            if (waitMillis > 0) Thread.sleep(waitMillis);
            out.write(body, from, Math.min(part, body.length - from));
        }
        out.flush();
    }

    private static void close(Caller caller) {
        if (caller == null) return;
        try {
            caller.close();
        } catch (java.io.IOException e) {
            // It is closed in any case.
        }
    }
}
