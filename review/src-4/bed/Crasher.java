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
    private static final long BESIDE_MILLIS = 80;
    private static final String PATH = "/puxa403/pallet-17";

    /** How a runner crashes and comes back, and where the client sends the request again. */
    enum Mode {
        /** The process ends, and is back under its id. The client uses the machines of its zone. */
        SAME_ID(2_000, 5, 12, 2),

        /** The machine goes dark, and is back with a new id. The client uses any machine. */
        DARK(4_500, 7, 9, 3),

        /** The process ends, and is back with a new id. The client uses all machines at once. */
        AT_ONCE(2_000, 7, 5, 4);

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
    private final AtomicInteger besideLost = new AtomicInteger();
    private final List<Long> arrivals = new ArrayList<>();
    private volatile boolean isOver;

    private Crasher(Mode mode, Log log) {
        this.mode = mode;
        this.log = log;
    }

    static void run(Mode mode, String[] args) throws Exception {
        int status = 2;
        try (Log log = new Log(Path.of(args[2]))) {
            boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
            status = new Crasher(mode, log).run(Path.of(args[0]), Path.of(args[1]), hasTrouble);
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
        for (int i = 0; i < Math.max(3, mode.machines); i++) {
            Runner runner = new Runner("i-" + i, "app", "sul-" + "abcd".charAt(i), 12, 24, store, log);
            runner.script = (request, connection) -> run(runner, request, hasTrouble);
            runners.add(runner);
        }
        int peerPort = Gateway.freePort("127.0.0.1");
        String[] zones = switch (mode) {
            case SAME_ID -> new String[] {"sul-a", "sul-a", "sul-c"};
            case DARK -> new String[] {"sul-a", "sul-b", "sul-c"};
            case AT_ONCE -> new String[] {"sul-a", "sul-b", "sul-c", "sul-d"};
        };
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
        int sent = 0;
        int refused = 0;
        for (int i = 0; i < mode.repeats; i++) {
            Gateway machine = gateways.get(i % mode.machines);
            String beside = "beside-" + (i + 1);
            Thread client = new Thread(() -> sendBeside(machine, beside));
            client.start();
            Thread.sleep(30);
            int count = mode == Mode.AT_ONCE ? gateways.size() : 1;
            sent += count;
            refused += sendDeadly(i, count, "deadly-" + (i + 1));
            client.join();
            for (int k = 0; k < mode.pauseSeconds; k++) sendOrdinary(gateways.get(k % mode.machines));
        }
        isOver = true;
        other.join(TIMEOUT_MILLIS + 2_000);
        int crashes = arrivals.size();
        long counted = crashes < 3 ? 0 : arrivals.stream()
                .filter(at -> at > arrivals.get(2) + STABILITY_WINDOW_MILLIS).count();
        for (Gateway g : gateways) g.copyOutput("suspects", 12);
        String result = String.format("sent %d times, refused %d times, crashed runners %d times, reached runners %d "
                        + "times later than %d ms after the third crash; requests of others that had been accepted "
                        + "and ran there: %d of %d lost; other requests: %d answered, %d failed",
                sent, refused, crashes, counted, STABILITY_WINDOW_MILLIS, besideLost.get(), mode.repeats,
                ordinaryAnswered.get(), ordinaryFailed.get());
        log.line(result);
        System.out.println(result);
        for (Gateway g : gateways) g.close();
        store.close();
        if (ordinaryAnswered.get() == 0) return 2;
        return counted > 3 ? 1 : 0;
    }

    /** Returns whether nothing more is to be done about the request. */
    private boolean run(Runner runner, Http.Message request, boolean hasTrouble) throws Exception {
        if (request.path().startsWith("/puxa403/beside-")) Thread.sleep(BESIDE_MILLIS);
        if (!hasTrouble || !request.path().equals(PATH)) return false;
        synchronized (arrivals) {
            arrivals.add(log.millis());
        }
        if (mode == Mode.DARK) runner.goDark(mode.downMillis, EXPIRY_MILLIS);
        else if (mode == Mode.AT_ONCE) runner.crashAndChangeId(mode.downMillis, EXPIRY_MILLIS);
        else runner.crash(mode.downMillis);
        return true;
    }

    /** Sends the request to count gateways from the given one on; returns how often it was refused. */
    private int sendDeadly(int first, int count, String id) throws java.io.IOException {
        List<Caller> callers = new ArrayList<>();
        int refused = 0;
        try {
            for (int k = 0; k < count; k++) {
                callers.add(new Caller(gateways.get((first + k) % mode.machines), 2 * TIMEOUT_MILLIS));
            }
            for (int k = 0; k < count; k++) {
                send(callers.get(k), PATH, count == 1 ? id : id + "-" + (k + 1), "pallet 17, gate 4");
            }
            for (Caller caller : callers) {
                int status = readStatus(caller);
                log.line("client: %s got %d", id, status);
                if (status == 503 || status == 429) refused++;
            }
        } finally {
            for (Caller caller : callers) caller.close();
        }
        return refused;
    }

    /** Sends a request that is still running when the deadly one arrives, as a rule at the same runner. */
    private void sendBeside(Gateway gateway, String id) {
        int status = call(gateway, "/puxa403/" + id, id, "order of another client");
        boolean hasRun = runners.stream().anyMatch(r -> r.ran.contains(id));
        if (hasRun && status != 200) besideLost.incrementAndGet();
        log.line("client: %s got %d, has run: %b", id, status, hasRun);
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

    private static void send(Caller caller, String path, String id, String body) throws java.io.IOException {
        caller.send("POST", path, id, "Deadline-Ms: 1500\r\n", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the status of the answer, or 0 if there is none. */
    private static int readStatus(Caller caller) {
        try {
            Http.Message answer = Http.read(caller.in);
            return answer == null ? 0 : answer.status();
        } catch (java.io.IOException e) {
            return 0;
        }
    }

    /** Sends a request on a new connection; returns the status, or 0 if there was no answer. */
    private int call(Gateway gateway, String path, String id, String body) {
        try (Caller caller = new Caller(gateway, 2 * TIMEOUT_MILLIS)) {
            send(caller, path, id, body);
            return readStatus(caller);
        } catch (java.io.IOException e) {
            log.line("client: %s: %s", id, e);
            return 0;
        }
    }
}
