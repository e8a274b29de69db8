import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The instance that reads the list of runners for all is partitioned from the store for a moment.
 * Just after that some runners leave; the entries of every second one are removed without a report
 * of draining. No request may reach them from the other instances later than DrainMs after that.
 */
final class RemovalAfterCut {
    private static final int INSTANCES = 4;
    private static final int RUNNERS = 39;
    private static final int LEAVING_AT_ONCE = 6;

    private static final int ROUNDS = 11;
    private static final long ROUND_MILLIS = 8_500;
    private static final long CUT_MILLIS = 1_500;
    private static final long LEAVE_AFTER_MILLIS = 1_800;
    private static final long REPLACE_AFTER_MILLIS = 6_000;

    /** How long a runner serves after the ack of its leaving: DrainMs and a little longer. */
    private static final long STAY_MILLIS = DrainWatch.DRAIN_MILLIS + 1_500;

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
            Kit.sleepUntil(startMillis + CUT_MILLIS);
            if (Site.hasTrouble()) watch.heal(reader);
            Kit.sleepUntil(startMillis + LEAVE_AFTER_MILLIS);
            for (int i = 0; i < LEAVING_AT_ONCE; i++) {
                leave(site, watch, ready.removeFirst(), i % 2 == 0);
            }
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

    private static void leave(Site site, DrainWatch watch, Runner runner, boolean isReported) {
        if (isReported) {
            site.drain(runner);
        } else {
            runner.leave();
            site.remove(runner);
        }
        watch.acknowledged(runner);
        Kit.spawn(() -> {
            Kit.sleep(STAY_MILLIS);
            runner.exit();
            if (isReported) site.remove(runner);
        });
    }
}
