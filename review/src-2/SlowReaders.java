import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients on kept channels read an answer of 4 MB steadily, but at 60 KB/s. The machine gets SIGHUP just
 * before their requests. They must get the whole answer within their time budget.
 */
final class SlowReaders {
    private static final int CLIENTS = 12;
    private static final int BODY_BYTES = 4_000_000;
    private static final int READ_BYTES = 6_000;
    private static final long READ_MILLIS = 100;

    /** That of a small terminal. */
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int DEADLINE_MILLIS = 80_000;
    private static final int TIMEOUT_MILLIS = 90_000;

    /** LOST counts at any time from the fourth request on. */
    private static final int ALLOWED = 3;

    private SlowReaders() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, SlowReaders::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", TIMEOUT_MILLIS, 1));
        String large = "x".repeat(BODY_BYTES);
        for (int i = 1; i <= 3; i++) {
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) -> {
                rig.record("runner " + self[0].id + " runs " + request.header("Attempt-Id"));
                boolean isLarge = request.path.endsWith("/large");
                self[0].answer(request, channel, isLarge ? large : "done");
            });
        }
        Gateway gateway = rig.startGateway(1);
        // Only one of two machines gets the signal.
        Gateway other = rig.startGateway(2);
        gateway.awaitReady();
        other.awaitReady();
        CountDownLatch kept = new CountDownLatch(CLIENTS);
        CountDownLatch hangup = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        AtomicInteger cut = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.startThread(() -> {
                if (!isWhole(rig, gateway, kept, hangup, hasTrouble)) {
                    cut.incrementAndGet();
                }
                ended.countDown();
            });
        }
        kept.await();
        gateway.hangUp();
        hangup.countDown();
        while (cut.get() <= ALLOWED && ended.getCount() > 0) {
            ended.await(100, TimeUnit.MILLISECONDS);
        }
        for (String line : gateway.linesWith("event=stalled")) {
            rig.record("output: " + line);
        }
        rig.record(cut.get() + " of " + CLIENTS + " answers were cut");
        return cut.get() > ALLOWED ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends two requests on one channel; returns whether the second answer came whole. */
    private static boolean isWhole(
            Rig rig, Gateway gateway, CountDownLatch kept, CountDownLatch hangup, boolean isSlow) {
        String id = Rig.newId();
        long count = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(gateway.ip, Gateway.FRONT_PORT), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BYTES);
            socket.getOutputStream().write(
                Rig.post("/order/small", Rig.newId(), DEADLINE_MILLIS, "", new byte[0]));
            Http.Answer first = Http.readAnswer(in);
            kept.countDown();
            hangup.await();
            if (!first.isComplete) {
                throw new IllegalStateException("the first answer is not complete");
            }
            long startMillis = Rig.now();
            socket.getOutputStream().write(
                Rig.post("/order/large", id, DEADLINE_MILLIS, "", new byte[0]));
            byte[] bytes = new byte[READ_BYTES];
            // The head is small beside the body, and whether its last bytes came is seen by the end.
            while (count < BODY_BYTES) {
                int size = in.read(bytes);
                if (size < 0) {
                    break;
                }
                count += size;
                if (isSlow) {
                    Rig.sleep(READ_MILLIS);
                }
            }
            rig.record("the client of " + id + " has " + count + " B after "
                + (Rig.now() - startMillis) + " ms");
        } catch (Exception e) {
            rig.record("the client of " + id + " has " + count + " B: " + e);
        }
        return count >= BODY_BYTES;
    }
}
