package bed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with one thread a connection, whose handler reads the body itself if told so. */
public class Server implements AutoCloseable {
    /** Answers one request; the connection goes on unless it was closed. */
    public interface Handler {
        void handle(Http.Message request, Connection connection) throws Exception;
    }

    /** A connection of a caller. */
    public static final class Connection {
        public final Socket socket;
        public final InputStream in;
        public final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
            this.out = socket.getOutputStream();
        }

        public void respond(int status, String headers, byte[] body) throws IOException {
            String head = "HTTP/1.1 " + status + " " + reason(status) + "\r\n" + headers
                    + "Content-Length: " + body.length + "\r\n\r\n";
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            out.write(all);
            out.flush();
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 404 -> "Not Found";
            case 409 -> "Conflict";
            case 410 -> "Gone";
            case 421 -> "Misdirected Request";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Handler handler;
    private final boolean readsBodies;
    private final int port;
    private volatile boolean isClosed;

    public Server(String host, int wantedPort, boolean readsBodies, Handler handler) throws IOException {
        this.handler = handler;
        this.readsBodies = readsBodies;
        listener = listen(new InetSocketAddress(InetAddress.getByName(host), wantedPort), 1_024);
        this.port = listener.getLocalPort();
        Thread thread = new Thread(this::acceptAll, "accept-" + listener.getLocalPort());
        thread.setDaemon(true);
        thread.start();
    }

    /** The system may hold the address for some ms after its listener was closed. */
    private static ServerSocket listen(InetSocketAddress address, int backlog) throws IOException {
        for (int i = 0; ; i++) {
            ServerSocket s = new ServerSocket();
            s.setReuseAddress(true);
            try {
                s.bind(address, backlog);
                return s;
            } catch (java.net.BindException e) {
                s.close();
                if (i == 100) throw e;
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    public int port() {
        return port;
    }

    private void acceptAll() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                if (isClosed) return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket);
            while (!socket.isClosed()) {
                Http.Message request = Http.readHead(connection.in);
                if (request == null) return;
                // A machine that went dark takes what arrives and does nothing with it.
                if (isClosed) Thread.sleep(Long.MAX_VALUE);
                if (readsBodies) Http.readBody(connection.in, request);
                handler.handle(request, connection);
            }
        } catch (Exception e) {
            // The caller closed its connection.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Closes the listener and resets all connections, as at the end of a process. */
    public void abort() throws IOException {
        isClosed = true;
        listener.close();
        for (Socket s : sockets) {
            s.setSoLinger(true, 0);
            s.close();
        }
    }

    /**
     * Answers nothing more, like a machine that went dark: connections stay open and silent, and new ones
     * are not accepted. The returned listener holds the address until the machine is back.
     */
    public AutoCloseable goDark() throws IOException {
        isClosed = true;
        listener.close();
        ServerSocket dark = listen(new InetSocketAddress("127.0.0.1", port), 1);
        // The system drops further connection attempts once the queue of the listener is full.
        java.util.List<Socket> fillers = new java.util.ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(dark.getLocalSocketAddress(), 100);
            } catch (IOException e) {
                break;
            }
        }
        return () -> {
            dark.close();
            for (Socket s : fillers) s.close();
            for (Socket s : sockets) {
                s.setSoLinger(true, 0);
                s.close();
            }
        };
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
        for (Socket s : sockets) s.close();
    }
}
