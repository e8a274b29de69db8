import java.io.IOException;

/** A stand-in of a runner of a plain service, which writes its entry in the store. */
final class Runner implements AutoCloseable {
    private static final long PING_MILLIS = 1_200;

    final String id;
    private final String service;
    private final Rig rig;
    private final Http.Listener listener;
    private final long bornMillis = System.currentTimeMillis();
    private final Http.Handler work;
    private int sequence;
    private volatile boolean isRegistered = true;

    /** [work] handles the requests that the runner accepts. */
    Runner(Rig rig, String id, String service, Http.Handler work) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.work = work;
        listener = new Http.Listener("127.0.0.1", this::handle);
        Rig.startThread(() -> {
            while (isRegistered) {
                writeEntry();
                Rig.sleep(PING_MILLIS);
            }
        });
    }

    /** Answers [request] with success. */
    void answer(Http.Request request, Http.Channel channel, String body) throws IOException {
        channel.answer(200, headers(request), body.getBytes());
    }

    /** The headers of each answer that the runner gives to [request]. */
    String headers(Http.Request request) {
        return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nRunner-Stamp: " + id + ".1\r\n";
    }

    /** Leaves without reporting `draining`: its entry is removed, and it goes on serving. */
    void leave() {
        synchronized (this) {
            isRegistered = false;
        }
        rig.store.put("keyed.servers", id, null);
    }

    @Override
    public void close() throws IOException {
        isRegistered = false;
        listener.close();
    }

    private synchronized void writeEntry() {
        if (!isRegistered) {
            return;
        }
        rig.store.put("keyed.servers", id, "{\"Service\":\"" + service + "\",\"Addr\":\""
            + listener.address() + "\",\"Zone\":\"" + Rig.ZONE + "\",\"Version\":\"v1\",\"Slots\":6,"
            + "\"State\":\"ready\",\"ColdLeftMs\":0,\"born\":" + bornMillis + ",\"Seq\":" + sequence
            + "}");
        sequence++;
    }

    private void handle(Http.Request request, Http.Channel channel) throws Exception {
        if (request.path.equals("/healthz")) {
            channel.answer(200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            String headers = "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n";
            channel.answer(421, headers, new byte[0]);
            return;
        }
        work.handle(request, channel);
    }
}
