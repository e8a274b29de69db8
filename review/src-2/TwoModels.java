import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A configuration adds the routes of two models at once, whose runners are all empty, where without
 * the disruption it adds the route of one. Routes that are added must be served like the first one.
 */
final class TwoModels {
    private static final int LAYERS = 20;
    private static final int RUNNERS_PER_MODEL = 4;
    private static final long PLACED_MILLIS = 30_000;
    private static final int ROUNDS = 50;

    private TwoModels() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, TwoModels::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        List<String> models = hasTrouble ? List.of("model-a", "model-b") : List.of("model-a");
        List<String> services = new ArrayList<>(List.of(Rig.plainService()));
        List<String> routes =
            new ArrayList<>(List.of(Rig.route("/order/", "non_idempotent", 10_000, 1)));
        rig.writeConfiguration(1, services, routes);
        for (int i = 1; i <= 3; i++) {
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) ->
                self[0].answer(request, channel, "done"));
        }
        for (String model : models) {
            for (int i = 1; i <= RUNNERS_PER_MODEL; i++) {
                rig.startEngine(model + "-" + i, model);
            }
        }
        List<Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            gateways.add(rig.startGateway(i));
        }
        gateways.forEach(Gateway::awaitReady);
        Rig.sleep(5_000);
        for (String model : models) {
            services.add(Rig.modelService(model, LAYERS));
            routes.add(Rig.modelRoute("/" + model + "/", model));
        }
        rig.writeConfiguration(2, services, routes);
        rig.record("version 2 adds the routes of " + models + ": acked by the store");
        // Orders and loads take some seconds.
        Rig.sleep(PLACED_MILLIS);
        AtomicInteger first = new AtomicInteger();
        AtomicInteger added = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(ROUNDS);
        for (int i = 0; i < ROUNDS; i++) {
            Gateway gateway = gateways.get(i % gateways.size());
            String model = models.get(i / gateways.size() % models.size());
            Rig.sleep(200);
            Rig.startThread(() -> {
                if (isServed(rig, gateway, "/order/one", "")) {
                    first.incrementAndGet();
                }
                String headers = "Model: m-" + model + "\r\nToken-Counts: 760,170\r\n"
                    + "Prefix-Hash: 5c1e07a2:40," + Rig.newId() + ":720\r\n";
                if (isServed(rig, gateway, "/" + model + "/one", headers)) {
                    added.incrementAndGet();
                }
                ended.countDown();
            });
        }
        ended.await(20, TimeUnit.SECONDS);
        for (Gateway gateway : gateways) {
            int lines = gateway.linesWith(" placement: ").size();
            rig.record("gateway " + gateway.index + " logs " + lines + " orders");
        }
        rig.record(ROUNDS + " requests each: served on the first route " + first
            + ", on the added ones " + added);
        if (first.get() < ROUNDS / 2) {
            return Rig.NOT_RUN;
        }
        return 4 * added.get() < first.get() ? Rig.BROKEN : Rig.HELD;
    }

    private static boolean isServed(Rig rig, Gateway gateway, String path, String headers) {
        String id = Rig.newId();
        byte[] request = Rig.post(path, id, 5_000, headers, new byte[0]);
        Http.Answer answer = Http.send(gateway.ip, Gateway.FRONT_PORT, request, 5_000);
        rig.record("request " + id + " for " + path + ": " + answer);
        return answer.status == 200 && answer.isComplete;
    }
}
