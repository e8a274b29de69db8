import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The gateway that reads the list of runners for all is partitioned from the store for 1.5 seconds.
 * Soon after, a runner leaves without reporting `draining`: its entry is removed. Gateways that were
 * in touch all the while must stop sending it requests within `DrainMs`.
 */
final class LeaveAfterCut {
    private static final int GATEWAYS = 3;
    private static final int CLIENTS_PER_GATEWAY = 2;
    private static final long CUT_MILLIS = 1_500;
    private static final long LEAVE_AFTER_MILLIS = 500;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABILITY_WINDOW_MILLIS = 3_000;

    /** The part of the group's first topic whose holder reads the list of runners. */
    private static final int READER_PART = 1;

    private LeaveAfterCut() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, LeaveAfterCut::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", 10_000, 1));
        AtomicLong ackMillis = new AtomicLong(Long.MAX_VALUE);
        AtomicLong reader = new AtomicLong();
        List<String> late = new ArrayList<>();
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            boolean isLeaving = i == 3;
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) -> {
                long sinceAckMillis = Rig.now() - ackMillis.get();
                String gateway = request.header("Sent-To");
                rig.record("runner " + self[0].id + " runs " + request.header("Attempt-Id")
                    + " from gateway " + gateway);
                if (isLeaving && sinceAckMillis > DRAIN_MILLIS && !gateway.equals("" + reader)) {
                    synchronized (late) {
                        late.add(sinceAckMillis + " ms from gateway " + gateway);
                    }
                }
                Rig.sleep(20);
                self[0].answer(request, channel, "done");
            });
            runners.add(self[0]);
        }
        Map<Integer, Gateway> gateways = new TreeMap<>();
        for (int i = 1; i <= GATEWAYS; i++) {
            gateways.put(i, rig.startGateway(i));
        }
        gateways.values().forEach(Gateway::awaitReady);
        AtomicBoolean isOver = new AtomicBoolean();
        for (Gateway gateway : gateways.values()) {
            for (int i = 0; i < CLIENTS_PER_GATEWAY; i++) {
                Rig.startThread(() -> sendRequests(rig, gateway, isOver));
            }
        }
        // The gateways have found each other, and duties are settled.
        Rig.sleep(8_000);
        String holder = rig.store.holder(READER_PART);
        reader.set(Integer.parseInt(holder.substring("edge-".length(), holder.indexOf('@'))));
        rig.record("gateway " + reader + " reads the list of runners");
        Store.Entrance entrance = gateways.get((int) reader.get()).entrance;
        if (hasTrouble) {
            entrance.cut();
            rig.record("gateway " + reader + " is partitioned from the store");
        }
        Rig.sleep(CUT_MILLIS);
        if (hasTrouble) {
            entrance.heal();
            rig.record("the cut has healed");
        }
        Rig.sleep(LEAVE_AFTER_MILLIS);
        runners.get(2).leave();
        ackMillis.set(Rig.now());
        rig.record("the entry of runner i-3 is removed: acked by the store");
        Rig.sleep(DRAIN_MILLIS + STABILITY_WINDOW_MILLIS);
        isOver.set(true);
        Rig.sleep(500);
        for (Gateway gateway : gateways.values()) {
            for (String line : gateway.linesWith("event=gone")) {
                rig.record("output of gateway " + gateway.index + ": " + line);
            }
        }
        synchronized (late) {
            rig.record(late.size() + " requests reached runner i-3 more than " + DRAIN_MILLIS
                + " ms after the ack, from gateways that were in touch: " + late);
            return late.isEmpty() ? Rig.HELD : Rig.BROKEN;
        }
    }

    private static void sendRequests(Rig rig, Gateway gateway, AtomicBoolean isOver) {
        while (!isOver.get()) {
            String id = Rig.newId();
            String headers = "Sent-To: " + gateway.index + "\r\n";
            byte[] request = Rig.post("/order/one", id, 1_500, headers, new byte[0]);
            Http.Answer answer = Http.send(gateway.ip, Gateway.FRONT_PORT, request, 1_500);
            rig.record("request " + id + " to gateway " + gateway.index + ": " + answer);
            Rig.sleep(40);
        }
    }
}
