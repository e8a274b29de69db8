import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One runner runs requests and then fails part of them with 503 or 429, without `Not-Executed`, while
 * its liveness check is good. The client must not be told that such a request has not run.
 */
final class RefusalAfterRun {
    /** One of seven runners is faulty, and fails two in five of its requests. */
    private static final int RUNNERS = 7;
    private static final int REQUESTS = 200;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private RefusalAfterRun() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, RefusalAfterRun::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", 10_000, 2));
        Set<String> hasRun = ConcurrentHashMap.newKeySet();
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger failures = new AtomicInteger();
        for (int i = 1; i <= RUNNERS; i++) {
            boolean isFaulty = i == 1;
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) -> {
                String id = request.header("Attempt-Id");
                hasRun.add(id);
                Rig.sleep(20);
                boolean fails = hasTrouble && isFaulty && runs.getAndIncrement() % 5 < 2;
                int status = !fails ? 200 : failures.getAndIncrement() % 2 == 0 ? 503 : 429;
                rig.record("runner " + self[0].id + " has run " + id + " and answers " + status);
                channel.answer(status, self[0].headers(request), "done".getBytes());
            });
        }
        Gateway gateway = rig.startGateway(1);
        gateway.awaitReady();
        List<String> untrue = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = Rig.newId();
            byte[] request = Rig.post("/order/one", id, 1_500, "", new byte[0]);
            Http.Answer answer = Http.send(gateway.ip, Gateway.FRONT_PORT, request, 1_500);
            rig.record("the client of " + id + " gets " + answer);
            if (PROMISES.contains(answer.status) && hasRun.contains(id)) {
                untrue.add(id + " " + answer.status);
            }
        }
        rig.record("requests that have run and were answered with a promise that they have not: "
            + untrue);
        return untrue.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}
