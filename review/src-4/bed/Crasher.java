package bed;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each runner that begins to run it. The client sends the request again every few
 * seconds, with the same path, key and body.
 *
 * Counts how often the request reaches runners later than StabilityWindowMs after its third crash.
 */
final class Crasher {
    private static final int STABILITY_WINDOW_MILLIS = 3_000;
    private static final int TIMEOUT_MILLIS = 1_000;
    /** A beat takes 1.2 s, and an entry expires after three of silence. */
    private static final long EXPIRY_MILLIS = 3_600;
    private static final String PATH = "/puxa403/pallet-17";

    /** How a runner crashes and comes back, and where the client sends the request again. */
    enum Mode {
        /** The process ends, and is back under its id. The client uses the machines of its zone. */
        SAME_ID(2_000, 5, 12, 2),

        /** The machine goes dark, and is back with a new id. The client uses any machine. */
        DARK(4_500, 7, 9, 3);

        final long downMillis;
        final int pauseSeconds;
        final int repeats;
        final int machines;

        Mode(long downMillis, int pauseSeconds, int repeats, int machines) {
            this.downMillis = downMillis;
            this.pauseSeconds = pauseSeconds;
            this.repeats = repeats;
            this.machines = machines;
        }
    }

    private final Mode mode;
    private final Log log;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger ordinaryAnswered = new AtomicInteger();
    private final AtomicInteger ordinaryFailed = new AtomicInteger();
    private final List<Long> arrivals = new ArrayList<>();
    private volatile boolean isOver;

    private Crasher(Mode mode, Log log) {
        this.mode = mode;
        this.log = log;
    }

    static void run(Mode mode, String[] args) throws Exception {
        int status = 2;
        try (Log log = new Log(Path.of(args[2]))) {
            status = new Crasher(mode, log).run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run(Path root, Path directory, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", new Config()
                .route("/puxa403/", "non_idempotent", TIMEOUT_MILLIS, 100, "app", 1, "")
                .service("app").json(7));
        for (int i = 0; i < 3; i++) {
            Runner runner = new Runner("i-" + i, "app", "sul-" + "abc".charAt(i), 6, 24, store, log);
            if (hasTrouble) runner.script = (request, connection) -> crashIfDeadly(runner, request);
            runners.add(runner);
        }
        int peerPort = Gateway.freePort("127.0.0.1");
        String[] zones = {"sul-a", mode == Mode.SAME_ID ? "sul-a" : "sul-b", "sul-c"};
        for (int i = 0; i < zones.length; i++) {
            gateways.add(new Gateway(root, directory, i, zones[i], store.address(), peerPort, log));
        }
        for (Gateway g : gateways) g.start();
        for (Gateway g : gateways) if (!g.awaitReady(20_000)) return 2;
        Thread.sleep(STABILITY_WINDOW_MILLIS + 500);

        Thread other = new Thread(() -> {
            while (!isOver) sendOrdinary(gateways.get(2));
        });
        other.setDaemon(true);
        other.start();
        int refused = 0;
        for (int i = 0; i < mode.repeats; i++) {
            int status = call(gateways.get(i % mode.machines), PATH, "deadly-" + (i + 1), "pallet 17, gate 4");
            log.line("client: deadly-%d got %d", i + 1, status);
            if (status == 503 || status == 429) refused++;
            for (int k = 0; k < mode.pauseSeconds; k++) sendOrdinary(gateways.get(k % mode.machines));
        }
        isOver = true;
        other.join(TIMEOUT_MILLIS + 2_000);
        int crashes = arrivals.size();
        long counted = crashes < 3 ? 0 : arrivals.stream()
                .filter(at -> at > arrivals.get(2) + STABILITY_WINDOW_MILLIS).count();
        for (Gateway g : gateways) g.copyOutput("suspects", 12);
        String result = String.format("sent %d times, refused %d times, crashed runners %d times, reached runners %d "
                        + "times later than %d ms after the third crash; other requests: %d answered, %d failed",
                mode.repeats, refused, crashes, counted, STABILITY_WINDOW_MILLIS, ordinaryAnswered.get(), ordinaryFailed.get());
        log.line(result);
        System.out.println(result);
        for (Gateway g : gateways) g.close();
        store.close();
        if (ordinaryAnswered.get() == 0) return 2;
        return counted > 3 ? 1 : 0;
    }

    private boolean crashIfDeadly(Runner runner, Http.Message request) throws Exception {
        if (!request.path().equals(PATH)) return false;
        synchronized (arrivals) {
            arrivals.add(log.millis());
        }
        if (mode == Mode.DARK) runner.goDark(mode.downMillis, EXPIRY_MILLIS);
        else runner.crash(mode.downMillis);
        return true;
    }

    /** Sends one ordinary request, and waits a second. */
    private void sendOrdinary(Gateway gateway) {
        int n = ids.incrementAndGet();
        int status = call(gateway, "/puxa403/order-" + n, "order-" + n, "order " + n);
        if (status == 200) ordinaryAnswered.incrementAndGet();
        else ordinaryFailed.incrementAndGet();
        try {
            Thread.sleep(1_000);
        } catch (InterruptedException e) {
            isOver = true;
        }
    }

    /** Sends a request on a new connection; returns the status, or 0 if there was no answer. */
    private int call(Gateway gateway, String path, String id, String body) {
        try (Caller caller = new Caller(gateway, 2 * TIMEOUT_MILLIS)) {
            caller.send("POST", path, id, "Deadline-Ms: 1500\r\n", body.getBytes(StandardCharsets.UTF_8));
            Http.Message answer = Http.read(caller.in);
            return answer == null ? 0 : answer.status();
        } catch (java.io.IOException e) {
            log.line("client: %s: %s", id, e);
            return 0;
        }
    }
}
