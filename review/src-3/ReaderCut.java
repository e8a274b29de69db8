import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The instance that reads the list of runners for all is partitioned from the store, and meanwhile
 * some runners begin to leave. Once that instance is in touch again, no request may reach them from
 * it any more.
 */
final class ReaderCut {
    private static final int INSTANCES = 4;
    private static final int RUNNERS = 39;
    private static final int LEAVING_AT_ONCE = 6;

    private static final int ROUNDS = 6;
    private static final long ROUND_MILLIS = 16_000;
    private static final long LEAVE_AFTER_MILLIS = 1_000;
    private static final long CUT_MILLIS = 5_500;
    private static final long REPLACE_AFTER_MILLIS = 8_000;

    /** How long a runner serves after the ack of its draining: DrainMs and many seconds more. */
    private static final long STAY_MILLIS = DrainWatch.DRAIN_MILLIS + 11_500;

    public static void main(String[] args) throws Exception {
        try (Site site = new Site(Path.of(args[0]))) {
            System.exit(play(site));
        } catch (IllegalStateException | IOException e) {
            Kit.log("result", "the case could not run: " + e);
            System.exit(2);
        }
    }

    private static int play(Site site) throws IOException {
        DrainWatch watch = new DrainWatch(site);
        Deque<Runner> ready = new ArrayDeque<>();
        int runners = site.startDesk(watch, INSTANCES, RUNNERS, ready);
        for (int round = 0; round < ROUNDS; round++) {
            long startMillis = Kit.now();
            String reader = site.reader();
            if (Site.hasTrouble()) watch.cut(reader);
            Kit.sleepUntil(startMillis + LEAVE_AFTER_MILLIS);
            for (int i = 0; i < LEAVING_AT_ONCE; i++) leave(site, watch, ready.removeFirst());
            Kit.sleepUntil(startMillis + CUT_MILLIS);
            if (Site.hasTrouble()) watch.heal(reader);
            Kit.sleepUntil(startMillis + REPLACE_AFTER_MILLIS);
            for (int i = 0; i < LEAVING_AT_ONCE; i++) {
                ready.add(site.add(watch.newRunner(runners++)));
            }
            Kit.sleepUntil(startMillis + ROUND_MILLIS);
        }
        watch.stopCallers();
        Kit.sleep(5_500);
        return watch.result();
    }

    private static void leave(Site site, DrainWatch watch, Runner runner) {
        site.drain(runner);
        watch.acknowledged(runner);
        Kit.spawn(() -> {
            Kit.sleep(STAY_MILLIS);
            runner.exit();
            site.remove(runner);
        });
    }
}
