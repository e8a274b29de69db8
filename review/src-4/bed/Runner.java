package bed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a plain service: runs as many requests as it has slots, and queues a few more. */
public final class Runner implements AutoCloseable {
    /** Called in place of the ordinary answer; returns false to let the ordinary answer go on. */
    public interface Script {
        boolean answer(Http.Message request, Server.Connection connection) throws Exception;
    }

    public volatile String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final int queue;
    private final Store store;
    private final Log log;
    private volatile Server server;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private volatile long born = System.currentTimeMillis();
    private volatile boolean isDown;
    private volatile boolean isDark;
    private volatile boolean isClosed;
    private volatile boolean beats = true;
    private volatile int sequence;
    private volatile long lastBeatNanos = System.nanoTime();
    public volatile long workMillis = 21;
    public volatile int answerBytes = 800;
    public volatile Script script = (request, connection) -> false;

    /** Ids of the requests that have begun to run here, in order. */
    public final List<String> ran = Collections.synchronizedList(new ArrayList<>());

    public Runner(String id, String service, String zone, int slots, int queue, Store store, Log log)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        this.store = store;
        this.log = log;
        free = new Semaphore(slots, true);
        server = new Server("127.0.0.1", 0, false, this::handle);
        Thread thread = new Thread(this::beat, "beat-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return server.address();
    }

    /** Stops or resumes the entry's renewal. */
    public void setBeats(boolean on) {
        beats = on;
    }

    /** Ends the process at once: its channels are reset. It is back under its id after a while. */
    public void crash(long downMillis) throws IOException {
        if (!tryEnd("crashes")) return;
        server.abort();
        startAfter(downMillis, () -> server = new Server("127.0.0.1", server.port(), false, this::handle));
    }

    /**
     * Ends the process at once: its channels are reset. Its entry expires, and the runner is back under a
     * new id after a while.
     */
    public void crashAndChangeId(long downMillis, long expiryMillis) throws IOException {
        if (!tryEnd("crashes")) return;
        server.abort();
        expireAfter(expiryMillis);
        String before = id;
        startAfter(downMillis, () -> {
            server = new Server("127.0.0.1", server.port(), false, this::handle);
            id = nextId(before);
        });
    }

    /**
     * The machine goes dark at once: nothing is answered any more. The entry expires, and the runner is
     * back under a new id after a while.
     */
    public void goDark(long darkMillis, long expiryMillis) throws IOException {
        if (!tryEnd("goes dark")) return;
        isDark = true;
        AutoCloseable darkness = server.goDark();
        expireAfter(expiryMillis);
        String before = id;
        startAfter(darkMillis, () -> {
            darkness.close();
            present.set(0);
            free.drainPermits();
            free.release(slots);
            server = new Server("127.0.0.1", server.port(), false, this::handle);
            id = nextId(before);
        });
    }

    private static String nextId(String id) {
        int mark = id.indexOf('.');
        return mark < 0 ? id + ".1"
                : id.substring(0, mark + 1) + (Integer.parseInt(id.substring(mark + 1)) + 1);
    }

    /** The entry expires when the last beat is so long ago. */
    private void expireAfter(long silenceMillis) {
        String expiring = id;
        long millis = Math.max(0, silenceMillis - (System.nanoTime() - lastBeatNanos) / 1_000_000);
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(millis);
                store.put("keyed.servers", expiring, null);
                log.line("%s: its entry has expired", expiring);
            } catch (InterruptedException e) {
                // The run is over.
            }
        }, "expire-" + expiring);
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized boolean tryEnd(String how) {
        if (isDown) return false;
        isDown = true;
        log.line("%s: %s", id, how);
        return true;
    }

    private interface Start {
        void run() throws Exception;
    }

    private void startAfter(long millis, Start start) {
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(millis);
                start.run();
                born = System.currentTimeMillis();
                sequence = 0;
                isDark = false;
                isDown = false;
                putEntry();
                log.line("%s: started again", id);
            } catch (Exception e) {
                log.line("%s: did not start again: %s", id, e);
            }
        }, "start");
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        while (!isClosed) {
            if (beats && !isDown) putEntry();
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void putEntry() {
        lastBeatNanos = System.nanoTime();
        store.put("keyed.servers", id, "{\"Service\":\"" + service + "\",\"Addr\":\"" + address()
                + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":" + slots
                + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"born\":" + born + ",\"Seq\":" + (++sequence) + "}");
    }

    private String load() {
        int all = present.get();
        return "Runner-Load: " + Math.min(all, slots) + "," + Math.max(0, all - slots) + "," + slots + "\r\n";
    }

    private void handle(Http.Message request, Server.Connection connection) throws Exception {
        String attempt = request.header("Attempt-Id");
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.readBody(connection.in, request);
            connection.respond(421, "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        if (request.path().equals("/healthz")) {
            connection.respond(200, "Instance-Id: " + id + "\r\n" + load(), new byte[0]);
            return;
        }
        Http.readBody(connection.in, request);
        if (present.incrementAndGet() > slots + queue) {
            present.decrementAndGet();
            log.line("%s: full, refuses %s", id, attempt);
            connection.respond(503, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n" + load(), new byte[0]);
            return;
        }
        free.acquire();
        try {
            ran.add(attempt);
            log.line("%s: runs %s %s, body of %d bytes", id, request.startLine, attempt, request.body.length);
            if (script.answer(request, connection)) return;
            Thread.sleep(workMillis);
            if (isDark) Thread.sleep(Long.MAX_VALUE);
            byte[] body = "x".repeat(answerBytes).getBytes();
            connection.respond(200, "Attempt-Id: " + attempt + "\r\nRunner-Stamp: stamp-" + attempt + "\r\n" + load(),
                    body);
            log.line("%s: answered %s", id, attempt);
        } finally {
            present.decrementAndGet();
            free.release();
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
    }
}
