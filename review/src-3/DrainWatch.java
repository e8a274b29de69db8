import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The clients and runners of a plain service, and what is counted: requests that reach a runner
 * later than DrainMs after the ack of its leaving, from an instance that is in touch.
 */
final class DrainWatch {
    static final long DRAIN_MILLIS = 2_000;

    /** An instance whose path was cut is out of touch for so long after it is whole again. */
    private static final long TOUCH_MILLIS = 3_000;
    private static final int CALLERS_OF_EACH = 4;
    private static final int SLOTS = 20;
    private static final long WORK_MILLIS = 400;

    private final Site site;
    private final Map<String, Long> leavingSince = new ConcurrentHashMap<>();

    /** Until when each instance is out of touch. */
    private final Map<String, Long> untouchedUntil = new ConcurrentHashMap<>();
    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private final AtomicInteger excused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final Random random = new Random();
    private volatile boolean isOver = false;

    DrainWatch(Site site) {
        this.site = site;
    }

    /** Starts the clients of all instances. */
    void startCallers() {
        for (Kit.Gateway g : site.gateways) {
            for (int c = 0; c < CALLERS_OF_EACH; c++) {
                String name = g.name + "-caller-" + c;
                Kit.spawn(() -> call(g, name));
            }
        }
    }

    void stopCallers() {
        isOver = true;
    }

    void cut(String instance) {
        untouchedUntil.put(instance, Long.MAX_VALUE);
        Kit.log("cut", "the path of " + instance + " to the store is cut");
        site.link(instance).setCut(true);
    }

    void heal(String instance) {
        site.link(instance).setCut(false);
        Kit.log("cut", "the path of " + instance + " to the store is whole");
        untouchedUntil.put(instance, Kit.now() + TOUCH_MILLIS);
    }

    /** The store has acknowledged just now that [runner] is draining or gone. */
    void acknowledged(Runner runner) {
        leavingSince.put(runner.id, Kit.now());
    }

    Runner newRunner(int number) throws IOException {
        return new Runner("desk-" + number, "desk", SLOTS, WORK_MILLIS) {
            @Override
            void onArrival(Kit.Message request) {
                Long at = leavingSince.get(id);
                if (at == null || Kit.now() - at <= DRAIN_MILLIS) return;
                String attempt = request.header("Attempt-Id");
                String instance = attempt.substring(0, attempt.indexOf("-caller"));
                boolean isInTouch = Kit.now() >= untouchedUntil.getOrDefault(instance, 0L);
                Kit.log(isInTouch ? "LATE" : "excused", attempt + " reaches " + id + " "
                    + (Kit.now() - at) + " ms after the ack of its leaving");
                if (isInTouch) late.add(attempt);
                else excused.incrementAndGet();
            }
        };
    }

    /** Writes the result to the record; returns the exit status of the case. */
    int result() {
        Kit.log("result", late.size() + " requests from instances in touch reached a runner later"
            + " than " + DRAIN_MILLIS + " ms after the ack of its leaving, " + failed.get()
            + " of them had no 2xx; " + excused.get() + " more came from instances out of touch");
        return late.isEmpty() ? 0 : 1;
    }

    private void call(Kit.Gateway g, String name) {
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
