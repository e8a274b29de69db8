import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Resumable streams at three runners. In one of its streams, the twentieth, a runner sends empty lines
 * without end after the eighth event, until the channel is closed. The clients check the bytes that they get.
 */
public final class EndlessLines {
    private static final int EVENTS = 20;
    private static final int LAST_GOOD_EVENT = 8;
    private static final int EVENT_MILLIS = 30;
    private static final int CLIENTS = 132;

    /** The stream of the first runner that is spoiled. */
    private static final int SPOILED_STREAM = 20;

    /** How many streams each runner has begun. */
    private static final List<AtomicInteger> STREAMS = List.of(new AtomicInteger(), new AtomicInteger(), new AtomicInteger());

    private EndlessLines() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(Path.of(arguments[0]), EndlessLines::check);
    }

    private static void startRunner(Kit.Store store, int number) throws Exception {
        String id = "runner-" + number;
        String lines = "\n".repeat(8_000);
        AtomicInteger streams = STREAMS.get(number - 1);
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
            String last = m.header("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last) + 1;
            Kit.log("runner %s: runs %s from event %d", id, attempt, from);
            int stream = streams.incrementAndGet();
            c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: " + attempt
                + "\r\nRunner-Stamp: stamp-" + attempt + "\r\n\r\n");
            for (int i = from; i <= EVENTS; i++) {
                Kit.sleep(EVENT_MILLIS);
                c.send(chunk("id: " + i + "\ndata: " + attempt + " " + i + "\n\n"));
                if (number == 1 && Kit.TROUBLE && stream == SPOILED_STREAM && i == LAST_GOOD_EVENT) {
                    Kit.log("runner %s: sends empty lines to %s until the channel is closed", id, attempt);
                    String endless = chunk(lines);
                    // The channel ends with an exception; the bound only limits the traffic.
                    for (int k = 0; k < 100_000; k++) c.send(endless);
                }
            }
            c.send("0\r\n\r\n");
            return true;
        });
        Kit.register(store, id, "app", server.address, 20, () -> "ready");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static boolean check() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("keyed.op", "config", Kit.configuration(1,
            Kit.route("r", "/s/", "streaming", "app", 20_000, 500, 2, ",\"Resumable\":true,\"GapGoalMs\":200"), Kit.plainService("app"), ""));
        for (int i = 1; i <= 3; i++) startRunner(store, i);
        Kit.Gateway gateway = new Kit.Gateway(1, store).start();
        Kit.await("the gateway is ready", 30_000, gateway::isReady);
        Kit.sleep(2_000);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        List<String> wrong = new ArrayList<>();
        for (int k = 1; k <= CLIENTS; k++) {
            String id = "a" + k;
            Kit.thread(() -> {
                try (Socket s = Kit.connect(gateway.front, 15_000)) {
                    Kit.log("client %s: sends its request", id);
                    s.getOutputStream().write(("POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer keya\r\nContent-Length: 2\r\nConnection: close\r\n\r\n" + id).getBytes());
                    String fault = findFault(id, readAll(s.getInputStream()));
                    Kit.log("client %s: %s", id, fault == null ? "the bytes are an answer, whole or broken off" : fault);
                    if (fault != null) {
                        synchronized (wrong) {
                            wrong.add(id);
                        }
                    }
                } catch (IOException e) {
                    Kit.log("client %s: %s", id, e);
                }
                done.countDown();
            });
            Kit.sleep(20);
        }
        if (!done.await(60, TimeUnit.SECONDS)) throw new IllegalStateException("clients without an end");
        Kit.log("streams of each runner: %s", STREAMS);
        Kit.log("%d of %d clients got bytes that are no answer in the protocol: %s", wrong.size(), CLIENTS, wrong);
        Kit.log("the process runs: %s; StackOverflowError in its log: %s", gateway.process.isAlive(), gateway.output().contains("StackOverflowError"));
        return !wrong.isEmpty();
    }

    private static String readAll(InputStream in) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[8_192];
        try {
            for (int n = in.read(buffer); n >= 0 && bytes.size() < 4_000_000; n = in.read(buffer)) bytes.write(buffer, 0, n);
        } catch (IOException e) {
            // What came before counts.
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Checks the chunks of an answer and what they hold; null if they are right up to their end. */
    private static String findFault(String id, String bytes) {
        int position = bytes.indexOf("\r\n\r\n");
        if (position < 0) return null;
        if (!bytes.startsWith("HTTP/1.1 200 ") || !bytes.substring(0, position).toLowerCase().contains("transfer-encoding: chunked")) return null;
        position += 4;
        StringBuilder content = new StringBuilder();
        while (true) {
            int end = bytes.indexOf("\r\n", position);
            if (end < 0) break;
            String size = bytes.substring(position, end);
            if (!size.matches("[0-9a-fA-F]+")) return "no chunk size but " + show(bytes, position);
            int length = Integer.parseInt(size, 16);
            int from = end + 2;
            content.append(bytes, from, Math.min(bytes.length(), from + length));
            if (bytes.length() < from + length + 2) break;
            if (!bytes.startsWith("\r\n", from + length)) return "a chunk of " + length + " bytes ends within " + show(bytes, position);
            position = from + length + 2;
            if (length == 0) break;
        }
        String events = content.toString().replaceAll("\n+", "\n");
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) expected.append("id: ").append(i).append("\ndata: ").append(id).append(' ').append(i).append('\n');
        return expected.toString().startsWith(events) ? null : "other bytes than any runner sent: " + show(events, Math.max(0, events.length() - 60));
    }

    private static String show(String text, int from) {
        return "\"" + text.substring(from, Math.min(text.length(), from + 60)).replace("\r", "\\r").replace("\n", "\\n") + "\"";
    }
}
