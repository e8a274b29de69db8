import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of a model runner that starts empty, takes `place` orders and streams answers. It writes
 * its entry in the store with each ping and whenever its layers change.
 */
final class Engine implements AutoCloseable {
    private static final long PING_MILLIS = 1_200;
    private static final long LOAD_MILLIS = 1_000;
    private static final int EVENTS = 5;

    final String id;
    private final String service;
    private final Rig rig;
    private final Http.Listener listener;
    private final long bornMillis = System.currentTimeMillis();
    private String layers;
    private boolean isBusy;
    private int orders;
    private int pings;
    private volatile boolean isRegistered = true;

    Engine(Rig rig, String id, String service) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        listener = new Http.Listener("127.0.0.1", this::handle);
        Rig.startThread(() -> {
            while (isRegistered) {
                writeEntry();
                Rig.sleep(PING_MILLIS);
            }
        });
    }

    @Override
    public void close() throws IOException {
        isRegistered = false;
        listener.close();
    }

    private synchronized void writeEntry() {
        rig.store.put("keyed.servers", id, """
            {"Service":"%s","Addr":"%s","Zone":"%s","Version":"v1","Slots":134,"State":"ready",
             "ColdLeftMs":0,"Stage":"colocated","RouteKind":"h100",%s"born":%d,"Seq":%d}
            """.formatted(service, listener.address(), Rig.ZONE, layersField(), bornMillis, pings++));
    }

    private String layersField() {
        return layers == null ? "" : "\"Layers\":" + layers + ",";
    }

    private void handle(Http.Request request, Http.Channel channel) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            channel.answer(421, "Not-Executed: 1\r\n", new byte[0]);
        } else if (request.path.equals("/healthz")) {
            channel.answer(200, "Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (request.path.equals("/report")) {
            channel.answer(200, "Content-Type: application/json\r\n", report().getBytes());
        } else if (request.path.equals("/order")) {
            channel.answer(order(new String(request.body)), "", new byte[0]);
        } else {
            stream(request, channel);
        }
    }

    private synchronized String report() {
        return """
            {"Stage":"colocated","Models":[],"Busy":%b,"Seq":%d,"Queued":0,"Active":0,"KvUsed":0,
             "KvTotal":90000,"Handles":0,%s"pace":1.0,"StalledServers":[],"born":%d}
            """.formatted(isBusy, orders, layersField(), bornMillis);
    }

    /** Takes a `place` order; returns the status of the answer. */
    private synchronized int order(String body) {
        long precondition = number("Precondition", body, orders);
        if (isBusy || precondition != orders) {
            return 409;
        }
        long from = number("From", body, -1);
        long until = number("To", body, -1);
        String ordered = "{\"From\":" + from + ",\"To\":" + until + ",\"Version\":1}";
        rig.record("runner " + id + " is ordered to hold the layers " + from + " to " + until);
        orders++;
        isBusy = true;
        Rig.startThread(() -> {
            Rig.sleep(LOAD_MILLIS);
            synchronized (this) {
                layers = ordered;
                isBusy = false;
            }
            writeEntry();
        });
        return 202;
    }

    private void stream(Http.Request request, Http.Channel channel) throws IOException {
        synchronized (this) {
            if (layers == null) {
                channel.answer(421, "Not-Executed: 1\r\n", new byte[0]);
                return;
            }
        }
        String attempt = request.header("Attempt-Id");
        rig.record("runner " + id + " runs " + attempt);
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            events.append("id: ").append(i).append("\ndata: tokens\n\n");
        }
        String headers = "Attempt-Id: " + attempt + "\r\nRunner-Stamp: " + id + ".1\r\n"
            + "Content-Type: text/event-stream\r\n";
        channel.answer(200, headers, events.toString().getBytes());
    }

    private static long number(String name, String json, long otherwise) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : otherwise;
    }
}
