import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Many clients send bodies just below `MaxBodyBytes` at once. When they have ended, the gateway
 * must still answer ordinary requests.
 */
final class UploadsAtOnce {
    /** The sheet has 36, 34 and 32 in its three zones. */
    private static final int CLIENTS = 70;
    private static final int BODY_BYTES = 4_000_000;
    private static final long UPLOAD_MILLIS = 20_000;
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
        // Without the disruption, the same clients send the same bodies one after another.
        upload(rig, gateway, new Semaphore(hasTrouble ? CLIENTS : 1));
        rig.record("the uploads have ended");
        Rig.sleep(QUIET_MILLIS);
        return sendRequests(rig, gateway);
    }

    private static void upload(Rig rig, Gateway gateway, Semaphore atOnce) throws Exception {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        long endMillis = Rig.now() + UPLOAD_MILLIS;
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Rig.startThread(() -> {
                while (Rig.now() < endMillis) {
                    atOnce.acquireUninterruptibly();
                    if (Rig.now() < endMillis) {
                        uploadOnce(rig, gateway, body);
                    }
                    atOnce.release();
                    Rig.sleep(200);
                }
                ended.countDown();
            });
        }
        ended.await();
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
