import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Many clients send bodies just below `MaxBodyBytes` at once. When they have ended, the gateway
 * must still answer ordinary requests.
 */
final class UploadsAtOnce {
    /** Clients that upload, with and without the disruption. */
    private static final int CLIENTS = 29;

    /** The largest burst of the site file: 2.4 times as many for 6.8 s. */
    private static final double BURST = 2.4;
    private static final long BURST_MILLIS = 6_800;

    /** Bursts may come more than once. */
    private static final int BURSTS = 7;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOAD_DEADLINE_MILLIS = 10_000;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 500;

    /** The five seconds after a press of clients and `StabilityWindowMs`, and a second more. */
    private static final long QUIET_MILLIS = 9_000;
    private static final int REQUESTS = 40;

    private UploadsAtOnce() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, UploadsAtOnce::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", TIMEOUT_MILLIS, 1));
        for (int i = 1; i <= 3; i++) {
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) -> {
                rig.record("runner " + self[0].id + " runs " + request.header("Attempt-Id"));
                Rig.sleep(20);
                self[0].answer(request, channel, "done");
            });
        }
        Gateway gateway = rig.startGateway(1);
        gateway.awaitReady();
        long endMillis = Rig.now() + BURSTS * (BURST_MILLIS + PAUSE_MILLIS);
        Thread base = Rig.newThread(() -> upload(rig, gateway, CLIENTS, endMillis));
        base.start();
        while (Rig.now() < endMillis) {
            if (hasTrouble) {
                rig.record("a burst begins");
                int more = (int) (BURST * CLIENTS) - CLIENTS;
                upload(rig, gateway, more, Rig.now() + BURST_MILLIS);
            }
            Rig.sleep(PAUSE_MILLIS);
        }
        base.join();
        rig.record("the uploads have ended");
        Rig.sleep(QUIET_MILLIS);
        return sendRequests(rig, gateway);
    }

    private static void upload(Rig rig, Gateway gateway, int clients, long endMillis) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        CountDownLatch ended = new CountDownLatch(clients);
        for (int i = 0; i < clients; i++) {
            Rig.startThread(() -> {
                while (Rig.now() < endMillis) {
                    uploadOnce(rig, gateway, body);
                    Rig.sleep(200);
                }
                ended.countDown();
            });
        }
        try {
            ended.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void uploadOnce(Rig rig, Gateway gateway, byte[] body) {
        String id = Rig.newId();
        byte[] request = Rig.post("/order/upload", id, UPLOAD_DEADLINE_MILLIS, "", body);
        Http.Answer answer =
            Http.send(gateway.ip, Gateway.FRONT_PORT, request, UPLOAD_DEADLINE_MILLIS);
        rig.record("upload " + id + ": " + answer);
    }

    /** Sends ordinary requests and judges those that are unanswered at the route's time-out. */
    private static int sendRequests(Rig rig, Gateway gateway) throws Exception {
        List<Http.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch ended = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            Rig.startThread(() -> {
                String id = Rig.newId();
                byte[] request = Rig.post("/order/one", id, 5_000, "", new byte[0]);
                Http.Answer answer = Http.send(gateway.ip, Gateway.FRONT_PORT, request, 5_000);
                rig.record("request " + id + ": " + answer);
                answers.add(answer);
                ended.countDown();
            });
        }
        ended.await(10, TimeUnit.SECONDS);
        long unanswered = answers.stream().filter(a -> a.millis > TIMEOUT_MILLIS).count();
        long late = answers.stream().filter(a -> a.millis > TIMEOUT_MILLIS + LATE_MILLIS).count();
        long served = answers.stream().filter(a -> a.status == 200).count();
        rig.record("of " + REQUESTS + " requests, " + served + " were served, " + unanswered
            + " were unanswered at the time-out, " + late + " half a second later");
        rig.record("the process is " + (gateway.isAlive() ? "alive" : "gone") + ", readiness "
            + gateway.readiness());
        gateway.linesWith("Exception in thread").forEach(line -> rig.record("output: " + line));
        return 2 * late > unanswered ? Rig.BROKEN : Rig.HELD;
    }
}
