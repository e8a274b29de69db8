import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A gateway as a process of its own, started with the words of the deploy file. */
final class Gateway implements AutoCloseable {
    static final int FRONT_PORT = 8_227;
    private static final int READY_PORT = 8_220;
    private static final long START_MILLIS = 20_000;

    final int index;
    final String ip;
    final Store.Entrance entrance;
    private final Rig rig;
    private Process process;

    Gateway(Rig rig, int index) throws IOException {
        this.rig = rig;
        this.index = index;
        ip = rig.gatewayIp(index);
        entrance = rig.store.newEntrance();
        start();
    }

    private void start() throws IOException {
        Path settings = rig.folder.resolve("node-" + index + ".json");
        Files.writeString(settings, settingsText());
        String run = Files.readAllLines(rig.repository.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String words = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(words.split(" "))))
            .directory(rig.repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output());
        builder.environment().put("GREENGAGEPORT_BOOT", settings.toString());
        process = builder.start();
        rig.record("gateway " + index + " is started");
    }

    /** Waits until the gateway says that it is ready; throws if it does not. */
    void awaitReady() {
        long endMillis = Rig.now() + START_MILLIS;
        while (readiness() != 200) {
            if (Rig.now() > endMillis) {
                recordOutput();
                throw new IllegalStateException("gateway " + index + " is not ready");
            }
            Rig.sleep(50);
        }
        rig.record("gateway " + index + " is ready");
    }

    /** The status of the answer to the platform's check; 0 if there is none. */
    int readiness() {
        String request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        return Http.send(ip, READY_PORT, request.getBytes(), 1_000).status;
    }

    /** Sends SIGHUP, as the platform does when the settings file has changed. */
    void hangUp() throws Exception {
        rig.record("gateway " + index + " gets SIGHUP");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private void recordOutput() {
        try (var lines = Files.lines(output().toPath())) {
            lines.limit(20).forEach(line -> rig.record("output: " + line));
        } catch (IOException e) {
            rig.record("no output: " + e);
        }
    }

    /** The lines of the process's output that contain [text]. */
    List<String> linesWith(String text) throws IOException {
        try (var lines = Files.lines(output().toPath())) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        entrance.close();
    }

    private File output() {
        return rig.folder.resolve("gateway-" + index + ".log").toFile();
    }

    private String settingsText() {
        return """
            {"NodeName":"edge-%1$d","Role":"gateway","MachineClass":"edge","Serves":["edge"],
             "Ip":"%2$s","Zone":"%3$s","Region":"z","Zones":{"%3$s":"z"},
             "Listen":{"Front":"%2$s:%4$d","Ready":"%2$s:%5$d"},"InternalPorts":[7340,7355],
             "Seeds":[],"IsBootstrap":true,"IsCounted":false,
             "Limits":{"CpuShare":0.75,"Cores":1,"MemoryMb":430,"MaxFds":4100,"LinkMbps":1000.0,
              "DiskMb":0},
             "DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
             "Contracts":["base","drain","config","cost","retry","recover","engine","stream",
              "tenants","platform","layers"],
             "FaultTolerance":{"Machines":2,"Zones":0,"Regions":0},
             "Bounds":{"SeedLagS":3,"ReuseAfterS":2,"StabilityWindowMs":3000,"AckMs":4000,
              "CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigMs":2000,
              "DowngradeMs":250,"StretchMs":5000,"StrictRevoke":false,"RevokeMs":5000,
              "RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":200,"RecoverS":12,"IterMs":120,
              "RetryAfterS":0,"stall_ms":2500,"FencingEnforced":true},
             "Platform":{"Addr":"%6$s","form":"log","WritesPerS":400,"ReadsPerS":2000,"parts":12,
              "AppendMs":2.0,"PartMbS":20.0,"ReadMbS":80.0,"RecordBytes":262144,
              "CallBytes":2097152,"keep_s":300,"PartMb":200,"TtlMinMs":1000}}
            """.formatted(index, ip, Rig.ZONE, FRONT_PORT, READY_PORT, entrance.address());
    }
}
