import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A runner hands out wrong bytes: the status in the first line of its answer has lost a digit, or has
 * one too many. Such bytes are no answer, and a client must not get any that are none.
 */
final class GarbledStatus {
    private static final List<String> GARBLED = List.of("2000", "20", "0");

    private GarbledStatus() {
    }

    public static void main(String[] args) throws Exception {
        Rig.run(args, GarbledStatus::run);
    }

    private static int run(Rig rig, boolean hasTrouble) throws Exception {
        rig.writeConfiguration(1, Rig.route("/order/", "non_idempotent", 10_000, 1));
        String[] status = {"200"};
        Runner[] self = new Runner[1];
        self[0] = rig.startRunner("i-1", "app", (request, channel) -> {
            String head = "HTTP/1.1 " + status[0] + " OK\r\n" + self[0].headers(request)
                + "Content-Length: 4\r\n\r\n";
            rig.record("runner i-1 runs " + request.header("Attempt-Id") + " and answers: "
                + head.lines().findFirst().orElse(""));
            channel.write(head + "done");
        });
        Gateway gateway = rig.startGateway(1);
        gateway.awaitReady();
        List<String> wrong = new ArrayList<>();
        for (String garbled : GARBLED) {
            status[0] = hasTrouble ? garbled : "200";
            String line = statusLineOf(rig, gateway);
            if (!line.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
                wrong.add(line);
            }
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
