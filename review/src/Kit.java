import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform's store, of runners and of clients, and the gateway's processes. */
final class Kit {
    private Kit() {}

    /** Whether the case runs with its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static Path temporary;
    private static final List<Gateway> GATEWAYS = new ArrayList<>();

    /** The network of this run within 127.0.0.0/8. A listener on it keeps it free of other runs. */
    private static final int NET;
    private static final ServerSocket NET_GUARD;

    static {
        int net = (int) (ProcessHandle.current().pid() % 250);
        ServerSocket guard = null;
        for (int i = 0; i < 250 && guard == null; i++) {
            net = 1 + net % 250;
            guard = tryGuard(net);
        }
        if (guard == null) throw new IllegalStateException("no free loopback network");
        NET = net;
        NET_GUARD = guard;
    }

    private static ServerSocket tryGuard(int net) {
        try {
            for (int port : new int[] {8220, 8227, 9464}) {
                try (ServerSocket s = new ServerSocket()) {
                    s.setReuseAddress(true);
                    s.bind(new InetSocketAddress("127.77." + net + ".1", port));
                }
            }
            ServerSocket s = new ServerSocket();
            s.bind(new InetSocketAddress("127.77." + net + ".250", 8226));
            return s;
        } catch (IOException e) {
            return null;
        }
    }

    static String ip(int host) {
        return "127.77." + NET + "." + host;
    }

    static synchronized void log(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", now() / 1e3) + String.format(Locale.ROOT, format, arguments);
        System.out.println(line);
        if (record != null) {
            record.println(line);
            record.flush();
        }
    }

    /** Writes a line to the record only. */
    static synchronized void note(String format, Object... arguments) {
        if (record != null) record.println(String.format(Locale.ROOT, "%8.3f ", now() / 1e3) + String.format(Locale.ROOT, format, arguments));
    }

    /** Milliseconds since the start. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable work) {
        Thread t = new Thread(null, work, "work", 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run() throws Exception;
    }

    /** Runs a case, ends all processes and exits with 1 if the rule was broken. */
    static void main(Path folder, Case c) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
        thread(() -> {
            sleep(115_000);
            log("the case took too long");
            endAll();
            deleteTemporary();
            Runtime.getRuntime().halt(2);
        });
        int status = 2;
        try {
            log("disruption: %s", TROUBLE ? "yes" : "no");
            boolean broken = c.run();
            status = broken ? 1 : 0;
            log("result: the rule %s", broken ? "was broken" : "held");
        } catch (Throwable e) {
            log("the case could not run: %s", e);
            e.printStackTrace();
        }
        endAll();
        deleteTemporary();
        synchronized (Kit.class) {
            record.close();
            record = null;
        }
        Runtime.getRuntime().halt(status);
    }

    /** Ends all processes that the case has started, and waits until they are gone. */
    private static void endAll() {
        GATEWAYS.forEach(Gateway::end);
    }

    private static void deleteTemporary() {
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println("the temporary folder is left: " + e);
        }
    }

    static void await(String what, long millis, java.util.concurrent.Callable<Boolean> condition) throws Exception {
        long end = now() + millis;
        while (!condition.call()) {
            if (now() > end) throw new IllegalStateException("not in time: " + what);
            sleep(20);
        }
    }

    // ---------------------------------------------------------------- messages

    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Whether the message arrived to its end. */
        boolean complete;
        long atMillis;

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        int status() {
            String[] parts = start.split(" ");
            return parts.length > 1 && start.startsWith("HTTP/") ? Integer.parseInt(parts[1]) : 0;
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') {
                String s = line.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            line.write(b);
        }
    }

    /** Reads a head; null if the channel ended before it was complete. */
    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        m.start = line;
        while (true) {
            line = readLine(in);
            if (line == null) return null;
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            m.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        m.atMillis = now();
        return m;
    }

    static void readBody(InputStream in, Message m) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = m.header("Content-Length");
        try {
            if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
                while (true) {
                    String line = readLine(in);
                    if (line == null) return;
                    int size = Integer.parseInt(line.trim(), 16);
                    byte[] part = in.readNBytes(size);
                    body.write(part);
                    if (part.length < size || readLine(in) == null) return;
                    if (size == 0) break;
                }
                m.complete = true;
            } else if (length != null) {
                int size = Integer.parseInt(length);
                byte[] part = in.readNBytes(size);
                body.write(part);
                m.complete = part.length == size;
            } else {
                m.complete = true;
            }
        } finally {
            m.body = body.toByteArray();
        }
    }

    static Message readMessage(InputStream in) throws IOException {
        Message m = readHead(in);
        if (m != null) readBody(in, m);
        return m;
    }

    // ---------------------------------------------------------------- servers

    /** A channel at a stand-in. */
    static final class Channel {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
            out = socket.getOutputStream();
        }

        synchronized void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void respond(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            String head = "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
            all.write(head.getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            synchronized (this) {
                out.write(all.toByteArray());
                out.flush();
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    interface Handler {
        /** Handles a request; returns false if the channel has to be closed. */
        boolean handle(Message request, Channel channel) throws Exception;
    }

    static class Server {
        final String address;
        private final int port;
        private final String ip;
        private final Handler handler;
        private ServerSocket listener;
        final java.util.Set<Channel> channels = ConcurrentHashMap.newKeySet();

        Server(String ip, Handler handler) throws IOException {
            this.ip = ip;
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, 0), 512);
            port = listener.getLocalPort();
            address = ip + ":" + port;
            accept(listener);
        }

        private void accept(ServerSocket from) {
            thread(() -> {
                while (true) {
                    try {
                        Socket s = from.accept();
                        thread(() -> serve(s));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket s) {
            Channel c = null;
            try {
                c = new Channel(s);
                channels.add(c);
                while (true) {
                    Message m = readMessage(c.in);
                    if (m == null || !m.complete || !handler.handle(m, c)) break;
                }
            } catch (IOException e) {
                // The peer has closed the channel.
            } catch (Exception e) {
                log("stand-in %s failed: %s", address, e);
            } finally {
                if (c != null) channels.remove(c);
                try {
                    s.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }
    }

    // ---------------------------------------------------------------- the store

    /** The platform's store: keyed topics and one consumer group. */
    static final class Store {
        private static final class Entry {
            final String key;
            final byte[] value;

            Entry(String key, byte[] value) {
                this.key = key;
                this.value = value;
            }
        }

        private final Map<String, List<Entry>> topics = new LinkedHashMap<>();
        private final TreeMap<String, Long> members = new TreeMap<>();
        private List<String> dutyTopics = List.of();
        private long generation = 1;
        final Server server;
        volatile int era = 1;

        /** Handles a call instead of the store if it returns true. */
        volatile java.util.function.BiPredicate<Message, Channel> intercept = (m, c) -> false;

        Store() throws IOException {
            server = new Server(ip(200), this::handle);
        }

        synchronized void put(String topic, String key, String value) {
            topics.computeIfAbsent(topic, t -> new ArrayList<>())
                .add(new Entry(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        private boolean handle(Message m, Channel c) throws Exception {
            if (intercept.test(m, c)) return true;
            String path = m.path();
            String name = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
            Map<String, String> query = new LinkedHashMap<>();
            if (path.contains("?")) {
                for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            String head = "Store-Era: " + era + "\r\nContent-Type: application/json\r\n";
            sleep(4);
            switch (name) {
                case "/log-newest" -> c.respond(200, head, newest(query).getBytes(StandardCharsets.UTF_8));
                case "/log-read" -> {
                    byte[] bytes = read(query);
                    c.respond(bytes == null ? 410 : 200, head, bytes == null ? "{\"FirstOffset\":0}".getBytes() : bytes);
                }
                case "/log-join" -> c.respond(200, head, join(m.text()).getBytes());
                case "/log-leave" -> c.respond(200, head, leave(m.text()).getBytes());
                case "/log-owners" -> c.respond(200, head, owners().getBytes());
                default -> c.respond(404, head, new byte[0]);
            }
            return true;
        }

        private synchronized String newest(Map<String, String> query) {
            List<Entry> entries = topics.computeIfAbsent(query.get("Topic"), t -> new ArrayList<>());
            TreeMap<String, Integer> last = new TreeMap<>();
            for (int i = 0; i < entries.size(); i++) last.put(entries.get(i).key, i);
            StringBuilder items = new StringBuilder();
            for (var e : last.entrySet()) {
                byte[] value = entries.get(e.getValue()).value;
                if (value.length == 0) continue;
                if (items.length() > 0) items.append(',');
                items.append("{\"Key\":\"").append(e.getKey()).append("\",\"Value\":\"")
                    .append(Base64.getEncoder().encodeToString(value)).append("\",\"Offset\":").append(e.getValue()).append('}');
            }
            return "{\"Items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" + entries.size() + "}";
        }

        private byte[] read(Map<String, String> query) throws Exception {
            int from = Integer.parseInt(query.get("From"));
            long end = now() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
            synchronized (this) {
                List<Entry> entries = topics.computeIfAbsent(query.get("Topic"), t -> new ArrayList<>());
                while (entries.size() <= from && now() < end) wait(Math.max(1, end - now()));
                if (from > entries.size()) return null;
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                DataOutputStream out = new DataOutputStream(bytes);
                out.writeLong(entries.size());
                out.writeLong(0);
                for (Entry e : entries.subList(from, entries.size())) {
                    byte[] key = e.key.getBytes(StandardCharsets.UTF_8);
                    out.writeInt(1 + key.length + e.value.length);
                    out.writeByte(key.length);
                    out.write(key);
                    out.write(e.value);
                }
                return bytes.toByteArray();
            }
        }

        private static String field(String json, String name) {
            Matcher m = Pattern.compile("\"" + name + "\":\"?([^\",}\\]]*)").matcher(json);
            if (!m.find()) throw new IllegalStateException(name + " is missing in " + json);
            return m.group(1);
        }

        private void removeExpired() {
            if (members.values().removeIf(end -> end < now())) generation++;
        }

        private synchronized String join(String json) {
            removeExpired();
            String member = field(json, "Member");
            Matcher m = Pattern.compile("\"Topics\":\\[([^\\]]*)\\]").matcher(json);
            if (m.find()) dutyTopics = List.of(m.group(1).replace("\"", "").split(","));
            long ttl = Long.parseLong(field(json, "TtlMs"));
            if (members.put(member, now() + ttl) == null) generation++;
            return "{\"Generation\":" + generation + ",\"TtlMs\":" + ttl + ",\"parts\":[" + rows(member) + "]}";
        }

        private synchronized String leave(String json) {
            if (members.remove(field(json, "Member")) != null) generation++;
            return "{}";
        }

        private synchronized String owners() {
            removeExpired();
            return "{\"Items\":[" + rows(null) + "]}";
        }

        private String rows(String only) {
            List<String> names = new ArrayList<>(members.keySet());
            StringBuilder rows = new StringBuilder();
            int i = 0;
            for (String topic : dutyTopics) {
                for (int part = 0; part < 12; part++, i++) {
                    if (names.isEmpty()) continue;
                    String owner = names.get(i % names.size());
                    if (only != null && !only.equals(owner)) continue;
                    if (rows.length() > 0) rows.append(',');
                    rows.append("[\"").append(topic).append("\",").append(part);
                    if (only == null) rows.append(",\"").append(owner).append("\"");
                    rows.append(",0]");
                }
            }
            return rows.toString();
        }
    }

    /** Writes the entry of a plain runner into the store about every heartbeat, unless its state is null. */
    static Thread register(Store store, String id, String service, String address, int slots, java.util.function.Supplier<String> state) {
        long born = System.currentTimeMillis();
        AtomicInteger sequence = new AtomicInteger();
        return thread(() -> {
            while (true) {
                String s = state.get();
                if (s != null) {
                    store.put("keyed.servers", id, "{\"Service\":\"" + service + "\",\"Addr\":\"" + address
                        + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + s
                        + "\",\"ColdLeftMs\":0,\"Seq\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}");
                }
                sleep(1_200);
            }
        });
    }

    // ---------------------------------------------------------------- the gateway

    /** A process of the gateway, started with the command of the deploy file. */
    static final class Gateway {
        final String ip;
        final String front;
        final String ready;
        Process process;
        private final Path settings;
        private final Path output;

        Gateway(int host, Store store) throws Exception {
            ip = Kit.ip(host);
            front = ip + ":" + 8227;
            ready = ip + ":" + 8220;
            settings = temporary.resolve("node-" + host + ".json");
            output = temporary.resolve("out-" + host + ".txt");
            Files.writeString(settings, "{\"NodeName\":\"edge-" + host + "\",\"Role\":\"gateway\",\"MachineClass\":\"edge\","
                + "\"Serves\":[\"edge\"],\"Ip\":\"" + ip + "\",\"Zone\":\"z1\",\"Region\":\"r\",\"Zones\":{\"z1\":\"r\"},"
                + "\"Listen\":{\"Front\":\"" + front + "\",\"Ready\":\"" + ready + "\"},\"InternalPorts\":[7340,7355],"
                + "\"Seeds\":[],\"IsBootstrap\":true,\"IsCounted\":false,"
                + "\"Limits\":{\"CpuShare\":0.75,\"Cores\":1,\"MemoryMb\":430,\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},"
                + "\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatMs\":1200,"
                + "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"StabilityWindowMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,"
                + "\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigMs\":2000,\"DowngradeMs\":250,\"StretchMs\":5000,"
                + "\"StrictRevoke\":false,\"RevokeMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":200,"
                + "\"RecoverS\":12,\"IterMs\":120,\"RetryAfterS\":0,\"stall_ms\":2500,\"FencingEnforced\":true},"
                + "\"Platform\":{\"Addr\":\"" + store.server.address + "\",\"form\":\"log\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
                + "\"parts\":12,\"keep_s\":300,\"TtlMinMs\":1000}}");
            GATEWAYS.add(this);
        }

        Gateway start() throws Exception {
            Path repository = Path.of("").toAbsolutePath();
            String deploy = Files.readString(repository.resolve("deploy/system.toml"));
            Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!m.find()) throw new IllegalStateException("the deploy file has no command");
            ProcessBuilder b = new ProcessBuilder(m.group(1).split(" "));
            b.directory(repository.toFile());
            b.environment().put("GREENGAGEPORT_BOOT", settings.toString());
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = b.start();
            log("gateway %s started", ip);
            return this;
        }

        boolean isReady() {
            try {
                Message m = call(ready, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000);
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String output() throws IOException {
            return Files.readString(output, StandardCharsets.ISO_8859_1);
        }

        void end() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, java.util.concurrent.TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---------------------------------------------------------------- clients

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1))), 1_000);
        s.setSoTimeout(timeoutMillis);
        return s;
    }

    /** Sends a request on a new channel; null if the channel ended before an answer began. */
    static Message call(String address, String request, int timeoutMillis) throws IOException {
        try (Socket s = connect(address, timeoutMillis)) {
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readMessage(new BufferedInputStream(s.getInputStream()));
        }
    }

    static String configuration(long version, String routes, String services, String more) {
        return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + services + "],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"ta\",\"ApiKeys\":[\"keya\"]},{\"Name\":\"tb\",\"ApiKeys\":[\"keyb\"]}]" + more + "}";
    }

    static String route(String name, String prefix, String kind, String service, long timeoutMs, int targetMs, int attempts, String more) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"h.example\",\"PathPrefix\":\"" + prefix + "\",\"RouteKind\":\"" + kind
            + "\",\"TimeoutMs\":" + timeoutMs + ",\"LatencyTargetMs\":" + targetMs + ",\"Priority\":1,\"Service\":\"" + service
            + "\",\"MaxAttempts\":" + attempts + ",\"Public\":false" + more + "}";
    }

    static String plainService(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":1000,\"Protocol\":\"h1\",\"Tls\":false}";
    }
}
