import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Semaphore;

/**
 * A stand-in for a sound runner of a plain service: runs each request for a time, and rejects with
 * 421 what is meant for another runner and with 503 what its queue cannot hold.
 */
class Runner {
    private static final String HOST = "127.0.0.1";
    private static final String LEAVING = "Server-Leaving: 1\r\nConnection: close\r\n";
    final String id;
    private final String service;
    private final int slots;
    private final long workMillis;
    private final long born = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Semaphore free;
    private final Set<Socket> channels = new HashSet<>();
    private volatile boolean isLeaving = false;
    private int running = 0;
    private int waiting = 0;
    private long seq = 0;

    Runner(String id, String service, int slots, long workMillis) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.workMillis = workMillis;
        free = new Semaphore(slots, true);
        listener = new ServerSocket(0, 1_000, InetAddress.getByName(HOST));
        Kit.spawn(this::accept);
    }

    String address() {
        return HOST + ":" + listener.getLocalPort();
    }

    /** The value of this runner's entry in the list. */
    synchronized String entry() {
        return ("{'Service':'" + service + "','Addr':'" + address() + "','Zone':'zone-a',"
            + "'Version':1,'Slots':" + slots + ",'State':'" + (isLeaving ? "draining" : "ready")
            + "','ColdLeftMs':0,'Seq':" + ++seq + ",'born':" + born + "}").replace('\'', '"');
    }

    /** Says from now on, in its entry and in all its answers, that it is leaving. */
    void leave() {
        isLeaving = true;
    }

    /** Ends the process that this stands for, and with it all its channels. */
    synchronized void exit() throws IOException {
        listener.close();
        for (Socket s : channels) s.close();
    }

    /** Called with each request that reaches this runner and is meant for it. */
    void onArrival(Kit.Message request) {}

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket s;
            try {
                s = listener.accept();
            } catch (IOException e) {
                return;
            }
            synchronized (this) {
                channels.add(s);
            }
            Kit.spawn(() -> serve(s));
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream(), 65_536);
            Kit.Message request;
            while ((request = Kit.read(in)) != null) {
                boolean isLast = isLeaving;
                s.getOutputStream().write(answer(request));
                if (isLast) break;
            }
        } catch (IOException e) {
            Kit.log("channel", id + " lost a channel: " + e.getMessage());
        } finally {
            synchronized (this) {
                channels.remove(s);
            }
        }
    }

    private byte[] answer(Kit.Message r) {
        String expected = r.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) return reply(r, 421, "Not-Executed: 1");
        if (r.first.startsWith("GET /healthz")) {
            return reply(r, isLeaving ? 503 : 200, "Instance-Id: " + id);
        }
        onArrival(r);
        synchronized (this) {
            if (running >= slots && waiting >= slots) return reply(r, 503, "Not-Executed: 1");
            waiting++;
        }
        free.acquireUninterruptibly();
        synchronized (this) {
            waiting--;
            running++;
        }
        try {
            Kit.log("run", id + " runs " + r.header("Attempt-Id"));
            Kit.sleep(workMillis);
        } finally {
            free.release();
            synchronized (this) {
                running--;
            }
        }
        return reply(r, 200, "Content-Type: text/plain");
    }

    private synchronized byte[] reply(Kit.Message r, int status, String header) {
        String body = status == 200 ? "answer to " + r.header("Attempt-Id") : "";
        return ("HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + r.header("Attempt-Id")
            + "\r\nRunner-Stamp: stamp-" + id + "\r\nRunner-Load: " + running + "," + waiting + ","
            + slots + "\r\n" + (isLeaving ? LEAVING : "") + header
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes();
    }
}
