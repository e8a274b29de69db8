import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the scripts share: the record, HTTP messages, and the processes of the gateway. */
final class Kit {
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Kit() {}

    static Thread daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    }

    static void spawn(Work w) {
        daemon(() -> {
            try {
                w.run();
            } catch (Exception e) {
                log("note", "a thread of the script ended: " + e);
            }
        }).start();
    }

    interface Work {
        void run() throws Exception;
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static long sinceStart() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void log(String kind, String text) {
        record.printf(Locale.ROOT, "%8.3f %-9s %s%n", sinceStart() / 1e3, kind, text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long millis) {
        sleep(Math.max(0, millis - now()));
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return s.getLocalPort();
        }
    }

    /** A head and, unless it was not read, the body of a request or an answer. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads a message; returns null if the channel ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message m = new Message();
        String line = line(in, true);
        if (line == null) return null;
        m.first = line;
        while (!(line = line(in, false)).isEmpty()) {
            int i = line.indexOf(':');
            m.headers.put(line.substring(0, i).toLowerCase(Locale.ROOT),
                line.substring(i + 1).trim());
        }
        if (m.header("Transfer-Encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(line(in, false).trim(), 16)) > 0) {
                body.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
            m.body = body.toByteArray();
        } else if (!m.header("Content-Length").isEmpty()) {
            m.body = exactly(in, Integer.parseInt(m.header("Content-Length")));
        }
        return m;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("ended within a body");
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (mayEnd && bytes.size() == 0) return null;
                throw new EOFException("ended within a line");
            }
            if (b == '\n') break;
            if (b != '\r') bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** A channel of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(String host, int port) throws IOException {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(byte[]... parts) throws IOException {
            OutputStream out = socket.getOutputStream();
            for (byte[] p : parts) out.write(p);
            out.flush();
        }

        Message receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A process of the gateway, with the command of the deploy file. */
    static final class Gateway {
        final String name;
        final String host;
        final int front;
        final int ready;
        private final int peerPort;
        private final Path folder;
        private final String storeAddress;
        private final Path root;
        Process process;

        Gateway(Path root, Path folder, String name, String host, String storeAddress)
            throws IOException {
            this.root = root;
            this.folder = folder;
            this.name = name;
            this.host = host;
            this.storeAddress = storeAddress;
            front = freePort(host);
            ready = freePort(host);
            peerPort = freePort(host);
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings());
            Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find()) throw new IOException("deploy/system.toml names no command");
            List<String> command = List.of(run.group(1).split(" "));
            ProcessBuilder b = new ProcessBuilder(command);
            b.directory(root.toFile());
            Map<String, String> env = b.environment();
            env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("GREENGAGEPORT_BOOT", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = b.start();
            log("process", name + " starts with pid " + process.pid());
            process.onExit().thenAccept(p ->
                log("process", name + " ended with status " + p.exitValue()));
        }

        private String settings() {
            return String.join("\n",
                "{'NodeName':'" + name + "','Role':'gateway','MachineClass':'edge',",
                "'Serves':['edge'],'Ip':'" + host + "','Zone':'zone-a','Region':'region',",
                "'Zones':{'zone-a':'region'},",
                "'Listen':{'Front':'" + host + ":" + front + "','Ready':'" + host + ":" + ready
                    + "','Control':'" + host + ":" + (peerPort + 1) + "'},",
                "'InternalPorts':[" + peerPort + "," + (peerPort + 15) + "],'Seeds':[],",
                "'IsBootstrap':true,'IsCounted':false,",
                "'Limits':{'CpuShare':0.75,'Cores':1,'MemoryMb':430,'MaxFds':4100,",
                "'LinkMbps':1000.0,'DiskMb':0},'DataDir':null,'Discovery':'platform',",
                "'Entry':'vip','HeartbeatMs':1200,",
                "'Bounds':{'StabilityWindowMs':3000,'DrainMs':2000,'GraceS':8,",
                "'LossSlackMs':200,'ConfigMs':2000,'RetryRatio':0.2,'RetryWindowS':10,",
                "'RetrySlack':200,'RecoverS':12,'FencingEnforced':true},",
                "'Platform':{'Addr':'" + storeAddress + "','form':'log','WritesPerS':400,",
                "'ReadsPerS':2000,'parts':12,'keep_s':300,'TtlMinMs':1000}}").replace('\'', '"');
        }

        boolean isReady() {
            try (Client c = new Client(host, ready)) {
                c.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
                Message m = c.receive(500);
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long millis) {
            long until = now() + millis;
            while (!isReady()) {
                if (now() > until || !process.isAlive()) {
                    throw new IllegalStateException(name + " is not ready");
                }
                sleep(50);
            }
            log("process", name + " is ready");
        }

        void signal(String signal) throws Exception {
            log("signal", signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start()
                .waitFor();
        }

        void end() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
