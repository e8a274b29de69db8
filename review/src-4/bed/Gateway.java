package bed;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway as a separate process, with the command of the deploy file. */
public final class Gateway implements AutoCloseable {
    /** Runs of cases beside each other use loopback addresses of their own. */
    private static final long NET = 1 + ProcessHandle.current().pid() % 250;

    private final Path root;
    private final Path directory;
    private final String ip;
    private final String name;
    private final String zone;
    private final String storeAddress;
    private final Log log;
    private final int front;
    private final int ready;
    private final int peerPort;
    private volatile Process process;
    private volatile boolean isClosed;
    public volatile int starts;

    public Gateway(Path root, Path directory, int index, String zone, String storeAddress, int peerPort, Log log)
            throws IOException {
        this.root = root;
        this.directory = directory;
        this.ip = "127.0." + NET + "." + (10 + index);
        this.name = "edge-" + index;
        this.zone = zone;
        this.storeAddress = storeAddress;
        this.peerPort = peerPort;
        this.log = log;
        this.front = freePort(ip);
        this.ready = freePort(ip);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            isClosed = true;
            if (process != null) process.destroyForcibly();
        }));
    }

    public static int freePort(String host) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return s.getLocalPort();
        }
    }

    public String ip() {
        return ip;
    }

    public int port() {
        return front;
    }

    public Path output() {
        return directory.resolve(name + ".log");
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    public void start() throws IOException {
        Path settings = directory.resolve(name + ".json");
        Files.writeString(settings, "{\"NodeName\":\"" + name + "\",\"Role\":\"gateway\",\"MachineClass\":\"edge\","
                + "\"Serves\":[\"edge\"],\"Ip\":\"" + ip + "\",\"Zone\":\"" + zone + "\",\"Region\":\"sul\","
                + "\"Listen\":{\"Front\":\"" + ip + ":" + front + "\",\"Ready\":\"" + ip + ":" + ready + "\"},"
                + "\"InternalPorts\":[" + peerPort + "," + (peerPort + 15) + "],\"Seeds\":[],"
                + "\"Limits\":{\"CpuShare\":0.75,\"Cores\":1,\"MemoryMb\":430,\"MaxFds\":4100,\"LinkMbps\":1000.0,"
                + "\"DiskMb\":0},\"HeartbeatMs\":1200,"
                + "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"StabilityWindowMs\":3000,\"AckMs\":4000,"
                + "\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigMs\":2000,"
                + "\"DowngradeMs\":250,\"StretchMs\":5000,\"StrictRevoke\":false,\"RevokeMs\":5000,"
                + "\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":200,\"RecoverS\":12,\"IterMs\":120,"
                + "\"RetryAfterS\":0,\"stall_ms\":2500,\"FencingEnforced\":true},"
                + "\"Platform\":{\"Addr\":\"" + storeAddress + "\",\"form\":\"log\",\"WritesPerS\":400,"
                + "\"ReadsPerS\":2000,\"parts\":12}}");
        ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output().toFile()));
        builder.environment().put("GREENGAGEPORT_BOOT", settings.toString());
        process = builder.start();
        starts++;
        log.line("%s: started, process %d", name, starts);
        Process started = process;
        started.onExit().thenAccept(p -> {
            if (!isClosed) log.line("%s: process ended with status %d", name, p.exitValue());
        });
    }

    /** Whether the readiness check answers 200. */
    public boolean isReady() {
        try {
            HttpURLConnection c = (HttpURLConnection)
                    new URI("http://" + ip + ":" + ready + "/readyz").toURL().openConnection();
            c.setConnectTimeout(400);
            c.setReadTimeout(400);
            int status = c.getResponseCode();
            c.disconnect();
            return status == 200;
        } catch (Exception e) {
            return false;
        }
    }

    public boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    public void signal(String signal) throws Exception {
        log.line("%s: SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    public boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Resident memory of the process in MB; 0 if it is unknown. */
    public long residentMegabytes() {
        try {
            for (String line : Files.readAllLines(new File("/proc/" + process.pid() + "/status").toPath())) {
                if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
            }
        } catch (Exception e) {
            return 0;
        }
        return 0;
    }

    @Override
    public void close() {
        isClosed = true;
        if (process != null) process.destroyForcibly().onExit().join();
    }

    /** The last lines of the process's output that contain the text, for the record. */
    public void copyOutput(String text, int most) throws IOException {
        List<String> lines = Files.readAllLines(output()).stream().filter(l -> l.contains(text)).toList();
        for (String line : lines.subList(Math.max(0, lines.size() - most), lines.size())) {
            log.line("%s: output: %s", name, line.substring(0, Math.min(300, line.length())));
        }
    }
}
