import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A runner that is full asks for a pause: 503 with `Retry-After`. Another writer then writes an entry
 * with fields missing under its key, once; the runner's next ping replaces it. The pause must hold.
 */
final class PauseAfterOddEntry {
    private static final int CLIENTS = 3;
    private static final long PAUSE_SECONDS = 8;
    private static final long FIRST_MILLIS = 500;
    private static final int ALLOWED = 2;
    private static final long NONE = -1;
    private static final long DUE = -2;

    private PauseAfterOddEntry() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, PauseAfterOddEntry::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", 10_000, 3));
        AtomicLong pausedAtMillis = new AtomicLong(NONE);
        List<Long> early = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            boolean isFull = i == 3;
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) -> {
                String id = request.header("Attempt-Id");
                if (isFull && pausedAtMillis.compareAndSet(DUE, Rig.now())) {
                    String headers = self[0].headers(request) + "Not-Executed: 1\r\nRetry-After: "
                        + PAUSE_SECONDS + "\r\n";
                    channel.answer(503, headers, new byte[0]);
                    rig.record("runner i-3 turns " + id + " away, Retry-After " + PAUSE_SECONDS);
                    return;
                }
                rig.record("runner " + self[0].id + " runs " + id);
                long sinceMillis = Rig.now() - pausedAtMillis.get();
                boolean isPaused = isFull && pausedAtMillis.get() >= 0
                    && sinceMillis > FIRST_MILLIS && sinceMillis < 1_000 * PAUSE_SECONDS;
                if (isPaused) {
                    synchronized (early) {
                        early.add(sinceMillis);
                    }
                }
                Rig.sleep(20);
                self[0].answer(request, channel, "done");
            });
        }
        Gateway gateway = rig.startGateway(1);
        gateway.awaitReady();
        AtomicBoolean isOver = new AtomicBoolean();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.startThread(() -> sendRequests(rig, gateway, isOver));
        }
        Rig.sleep(3_000);
        pausedAtMillis.set(DUE);
        while (pausedAtMillis.get() == DUE) {
            Rig.sleep(1);
        }
        Rig.sleep(1_000);
        if (hasTrouble) {
            rig.store.put("keyed.servers", "i-3", "{\"Service\":\"app\",\"State\":\"ready\"}");
            rig.record("another writer writes an entry of i-3 with fields missing");
        }
        Rig.sleep(1_000 * PAUSE_SECONDS);
        isOver.set(true);
        Rig.sleep(500);
        for (String line : gateway.linesWith("i-3")) {
            if (line.contains(" servers: ")) {
                rig.record("output of gateway 1: " + line);
            }
        }
        synchronized (early) {
            rig.record(early.size() + " requests reached runner i-3 between " + FIRST_MILLIS
                + " ms and the end of its pause, after ms: " + early);
            return early.size() > ALLOWED ? Rig.BROKEN : Rig.HELD;
        }
    }

    private static void sendRequests(Rig rig, Gateway gateway, AtomicBoolean isOver) {
        while (!isOver.get()) {
            String id = Rig.newId();
            byte[] request = Rig.post("/order/one", id, 1_500, "", new byte[0]);
            Http.Answer answer = Http.send(gateway.ip, Gateway.FRONT_PORT, request, 1_500);
            rig.record("request " + id + ": " + answer);
            Rig.sleep(40);
        }
    }
}
