import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The path from one instance to the store, which can be cut: then no byte passes, in either
 * direction, and new channels get no answer. Bytes that wait pass once the path is whole again,
 * unless their sender has reset the channel.
 */
final class Link {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private boolean isCut = false;

    Link(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Kit.spawn(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void setCut(boolean cut) {
        isCut = cut;
        notifyAll();
    }

    private synchronized void awaitWhole() {
        try {
            while (isCut) wait();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listener.accept();
            Kit.spawn(() -> connect(near));
        }
    }

    private void connect(Socket near) {
        try {
            awaitWhole();
            Socket far = new Socket();
            far.connect(target);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Kit.spawn(() -> pass(near, far));
            Kit.spawn(() -> pass(far, near));
        } catch (IOException e) {
            close(near);
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] bytes = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            from.setSoTimeout(20);
            while (true) {
                awaitWhole();
                int n;
                try {
                    n = in.read(bytes);
                } catch (java.net.SocketTimeoutException e) {
                    continue;
                }
                if (n < 0) break;
                awaitWhole();
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // The other end has gone.
        } finally {
            close(from);
            close(to);
        }
    }

    private static void close(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }
}
