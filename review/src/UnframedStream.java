import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams that have neither a length nor chunks, at two runners, which are processes of their own.
 * One of them is killed in the middle of its streams.
 */
public final class UnframedStream {
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 50;

    private UnframedStream() {}

    public static void main(String[] arguments) throws Exception {
        if (arguments[0].equals("runner")) {
            runner(arguments[1], arguments[2]);
        } else {
            Kit.main(Path.of(arguments[0]), UnframedStream::check);
        }
    }

    /** A runner: prints its address, and serves until it is killed. */
    private static void runner(String ip, String id) throws Exception {
        Kit.Server server = new Kit.Server(ip, (m, c) -> {
            if (m.path().equals("/healthz")) {
                c.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            if (!id.equals(m.header("Expect-Instance"))) {
                c.respond(421, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            String last = m.header("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last) + 1;
            System.out.println("run " + m.header("Attempt-Id") + " from " + from);
            c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nAttempt-Id: "
                + m.header("Attempt-Id") + "\r\nRunner-Stamp: stamp-" + m.header("Attempt-Id") + "\r\n\r\n");
            for (int i = from; i <= EVENTS; i++) {
                Kit.sleep(EVENT_MILLIS);
                c.send("id: " + i + "\ndata: piece " + i + " of " + m.header("Attempt-Id") + "\n\n");
            }
            return false;
        });
        System.out.println(server.address);
        Thread.currentThread().join();
    }

    private static Process startRunner(Kit.Store store, String id, String ip) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process p = new ProcessBuilder(java, "-Xmx64m", "-cp", System.getProperty("java.class.path"), "UnframedStream", "runner", ip, id)
            .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        Kit.CHILDREN.add(p);
        var out = p.inputReader();
        String address = out.readLine();
        Kit.thread(() -> out.lines().forEach(l -> Kit.log("runner %s: %s", id, l)));
        Kit.register(store, id, "model", address, 20, () -> p.isAlive() ? "ready" : null);
        Kit.log("runner %s at %s", id, address);
        return p;
    }

    private static boolean check() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("keyed.op", "config", Kit.configuration(1,
            Kit.route("r", "/s/", "streaming", "model", 20_000, 500, 2, ",\"Resumable\":true,\"GapGoalMs\":200"),
            Kit.plainService("model"), ""));
        Process first = startRunner(store, "runner-1", Kit.ip(101));
        startRunner(store, "runner-2", Kit.ip(102));
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(2_000);
        int clients = 8;
        CountDownLatch done = new CountDownLatch(clients);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        List<String> wrong = new ArrayList<>();
        for (int i = 1; i <= clients; i++) {
            String id = "a" + i;
            Kit.thread(() -> {
                try (Socket s = Kit.connect(gateway.front, 10_000)) {
                    s.getOutputStream().write(("POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer keya\r\nContent-Length: 2\r\n\r\n" + id).getBytes());
                    InputStream in = new java.io.BufferedInputStream(s.getInputStream());
                    Kit.Message m = Kit.readMessage(in);
                    int events = m == null ? 0 : m.text().split("\n\n", -1).length - 1;
                    Kit.log("client %s: status %s, %d events of %d, %s", id, m == null ? "none" : m.status(), events, EVENTS,
                        m != null && m.complete ? "ended as complete" : "broken off");
                    if (m == null || !m.complete) {
                        broken.incrementAndGet();
                    } else if (m.status() == 200 && events < EVENTS) {
                        synchronized (wrong) {
                            wrong.add(id);
                        }
                    } else {
                        whole.incrementAndGet();
                    }
                } catch (Exception e) {
                    Kit.log("client %s: %s", id, e);
                    broken.incrementAndGet();
                }
                done.countDown();
            });
            Kit.sleep(20);
        }
        Kit.sleep(1_000);
        if (Kit.TROUBLE) {
            Kit.log("runner-1 is killed");
            first.destroyForcibly();
        }
        done.await(30, TimeUnit.SECONDS);
        Kit.log("%d streams are whole, %d broken off, %d ended as complete before their last event: %s",
            whole.get(), broken.get(), wrong.size(), wrong);
        if (whole.get() + broken.get() + wrong.size() < clients) throw new IllegalStateException("clients without an end");
        return !wrong.isEmpty();
    }
}
