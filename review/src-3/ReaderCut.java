import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The instance that reads the list of runners for all is partitioned from the store, and meanwhile
 * some runners begin to leave. Once that instance is in touch again, no request may reach them from
 * it any more.
 */
final class ReaderCut {
    private static final int INSTANCES = 4;
    private static final int CALLERS_OF_EACH = 4;
    private static final int RUNNERS = 39;
    private static final int LEAVING_AT_ONCE = 6;
    private static final int SLOTS = 20;
    private static final long WORK_MILLIS = 400;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long TOUCH_MILLIS = 3_000;

    private static final int ROUNDS = 6;
    private static final long ROUND_MILLIS = 16_000;
    private static final long LEAVE_AFTER_MILLIS = 1_000;
    private static final long CUT_MILLIS = 5_500;
    private static final long REPLACE_AFTER_MILLIS = 8_000;

    /** How long a runner serves after the ack of its draining: DrainMs and many seconds more. */
    private static final long STAY_MILLIS = DRAIN_MILLIS + 11_500;

    /** The number of the duty to read the list for all instances. */
    private static final int READER_DUTY = 1;

    private static final Map<String, Long> drainedAt = new ConcurrentHashMap<>();

    /** Until when each instance is out of touch. */
    private static final Map<String, Long> untouchedUntil = new ConcurrentHashMap<>();
    private static final Set<String> late = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger excused = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();
    private static final Random random = new Random();
    private static volatile boolean isOver = false;

    public static void main(String[] args) throws Exception {
        try (Site site = new Site(Path.of(args[0]))) {
            play(site);
        } catch (IllegalStateException | IOException e) {
            Kit.log("result", "the case could not run: " + e);
            System.exit(2);
        }
        Kit.log("result", late.size() + " requests from instances in touch reached a runner later"
            + " than " + DRAIN_MILLIS + " ms after the ack of its draining, " + failed.get()
            + " of them had no 2xx; " + excused.get() + " more came from instances out of touch");
        System.exit(late.isEmpty() ? 0 : 1);
    }

    private static void play(Site site) throws IOException {
        site.configure(
            1,
            Site.route("order", "non_idempotent", "desk", 5_000, 800),
            Site.service("desk")
        );
        Deque<Runner> ready = new ArrayDeque<>();
        int runners = 0;
        while (runners < RUNNERS) ready.add(site.add(newRunner(runners++)));
        for (int i = 1; i <= INSTANCES; i++) site.gateway(i);
        for (Kit.Gateway g : site.gateways) g.awaitReady(20_000);
        for (Kit.Gateway g : site.gateways) {
            for (int c = 0; c < CALLERS_OF_EACH; c++) {
                String name = g.name + "-caller-" + c;
                Kit.spawn(() -> call(g, name));
            }
        }
        Kit.sleep(4_000);
        for (int round = 0; round < ROUNDS; round++) {
            long startMillis = Kit.now();
            String reader = site.store.owner(READER_DUTY).split("@")[0];
            if (Site.hasTrouble()) cut(site, reader);
            sleepUntil(startMillis + LEAVE_AFTER_MILLIS);
            for (int i = 0; i < LEAVING_AT_ONCE; i++) leave(site, ready.removeFirst());
            sleepUntil(startMillis + CUT_MILLIS);
            if (Site.hasTrouble()) heal(site, reader);
            sleepUntil(startMillis + REPLACE_AFTER_MILLIS);
            for (int i = 0; i < LEAVING_AT_ONCE; i++) ready.add(site.add(newRunner(runners++)));
            sleepUntil(startMillis + ROUND_MILLIS);
        }
        isOver = true;
        Kit.sleep(5_500);
    }

    private static void sleepUntil(long millis) {
        Kit.sleep(Math.max(0, millis - Kit.now()));
    }

    private static void cut(Site site, String instance) {
        untouchedUntil.put(instance, Long.MAX_VALUE);
        Kit.log("cut", "the path of " + instance + " to the store is cut");
        site.link(instance).setCut(true);
    }

    private static void heal(Site site, String instance) {
        site.link(instance).setCut(false);
        Kit.log("cut", "the path of " + instance + " to the store is whole");
        untouchedUntil.put(instance, Kit.now() + TOUCH_MILLIS);
    }

    private static void leave(Site site, Runner runner) {
        site.drain(runner);
        drainedAt.put(runner.id, Kit.now());
        Kit.spawn(() -> {
            Kit.sleep(STAY_MILLIS);
            runner.exit();
            site.remove(runner);
        });
    }

    private static Runner newRunner(int number) throws IOException {
        return new Runner("desk-" + number, "desk", SLOTS, WORK_MILLIS) {
            @Override
            void onArrival(Kit.Message request) {
                Long at = drainedAt.get(id);
                if (at == null || Kit.now() - at <= DRAIN_MILLIS) return;
                String attempt = request.header("Attempt-Id");
                String instance = attempt.substring(0, attempt.indexOf("-caller"));
                boolean isInTouch = Kit.now() >= untouchedUntil.getOrDefault(instance, 0L);
                Kit.log(isInTouch ? "LATE" : "excused", attempt + " reaches " + id + " "
                    + (Kit.now() - at) + " ms after the ack of its draining");
                if (isInTouch) late.add(attempt);
                else excused.incrementAndGet();
            }
        };
    }

    private static void call(Kit.Gateway g, String name) {
        for (int n = 1; !isOver; n++) {
            String id = name + "-" + n;
            String end;
            boolean isServed = false;
            try (Kit.Client c = new Kit.Client(g.host, g.front)) {
                c.send(Site.head("/order/" + id, id, 4_000, 0).getBytes());
                Kit.Message m = c.receive(5_000);
                end = m == null ? "the channel was closed" : m.first;
                isServed = m != null && m.status() == 200;
            } catch (IOException e) {
                end = e.toString();
            }
            Kit.log("answer", id + ": " + end);
            if (!isServed && late.contains(id)) failed.incrementAndGet();
            Kit.sleep(400 + random.nextInt(400));
        }
    }
}
