import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner hands out wrong bytes: the status in the first line of its answer has lost a digit, or has
 * one too many. Such bytes are no answer, and a client must not get any that are none.
 */
final class GarbledStatus {
    private static final List<String> GARBLED = List.of("2000", "20", "0");

    /** One of two runners spoils answers, and of these two in a hundred. */
    private static final int RUNNERS = 2;
    private static final int SPOILT_EACH = 50;
    private static final int MAX_REQUESTS = 1_000;

    private GarbledStatus() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, GarbledStatus::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", 10_000, 1));
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        for (int i = 1; i <= RUNNERS; i++) {
            boolean isFaulty = i == 1;
            Runner[] self = new Runner[1];
            self[0] = rig.startRunner("i-" + i, "app", (request, channel) -> {
                boolean isSpoilt = isFaulty && answers.incrementAndGet() % SPOILT_EACH == 0;
                int number = isSpoilt ? spoilt.getAndIncrement() : 0;
                String status = isSpoilt && hasTrouble && number < GARBLED.size()
                    ? GARBLED.get(number) : "200";
                String head = "HTTP/1.1 " + status + " OK\r\n" + self[0].headers(request)
                    + "Content-Length: 4\r\n\r\n";
                rig.record("runner " + self[0].id + " runs " + request.header("Attempt-Id")
                    + " and answers: HTTP/1.1 " + status + " OK");
                channel.write(head + "done");
            });
        }
        Gateway gateway = rig.startGateway(1);
        gateway.awaitReady();
        List<String> wrong = new ArrayList<>();
        for (int i = 0; i < MAX_REQUESTS && spoilt.get() < GARBLED.size(); i++) {
            String line = statusLineOf(rig, gateway);
            if (!line.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
                wrong.add(line);
            }
        }
        if (spoilt.get() < GARBLED.size()) {
            return Rig.NOT_RUN;
        }
        rig.record("status lines that are none: " + wrong);
        return wrong.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    /** Sends a request and returns the first line that the client gets. */
    private static String statusLineOf(Rig rig, Gateway gateway) throws Exception {
        String id = Rig.newId();
        try (Socket socket = new Socket(gateway.ip, Gateway.FRONT_PORT)) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(Rig.post("/order/one", id, 1_500, "", new byte[0]));
            InputStream in = socket.getInputStream();
            byte[] bytes = in.readNBytes(1);
            StringBuilder line = new StringBuilder(new String(bytes, StandardCharsets.ISO_8859_1));
            for (int c = in.read(); c >= 0 && c != '\r' && c != '\n'; c = in.read()) {
                line.append((char) c);
            }
            rig.record("the client of " + id + " gets: " + line);
            return line.toString();
        }
    }
}
