import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The HTTP/1.1 that the stand-ins of clients, runners and the store speak. */
final class Http {
    private static final ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(Rig::newThread);

    private Http() {
    }

    /** A request that a stand-in has read. */
    static final class Request {
        String method = "";
        String path = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }
    }

    /** The answer to a request; the status is 0 if the channel ended without one. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean isComplete;
        String failure = "";
        long millis;

        @Override
        public String toString() {
            String end = isComplete ? "" : " (" + failure + ")";
            return (status == 0 ? "no answer" : "status " + status) + end + " after " + millis + " ms";
        }
    }

    interface Handler {
        void handle(Request request, Channel channel) throws Exception;
    }

    /** A channel that a stand-in has accepted. */
    static final class Channel {
        final Socket socket;
        final InputStream in;
        private final OutputStream out;
        volatile boolean isKept = true;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Sends an answer with a length. Each line of [headers] ends with CR and LF. */
        void answer(int status, String headers, byte[] body) throws IOException {
            String head = "HTTP/1.1 " + status + " Status\r\n" + headers
                + "Content-Length: " + body.length + "\r\n\r\n";
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = Arrays.copyOf(headBytes, headBytes.length + body.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            out.write(all);
            out.flush();
        }

        void close() {
            isKept = false;
            closeQuietly(socket);
        }
    }

    /** Accepts channels at an address and passes each request to a handler. */
    static final class Listener implements AutoCloseable {
        private final ServerSocket server = new ServerSocket();
        private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Listener(String ip, Handler handler) throws IOException {
            this.handler = handler;
            server.bind(new InetSocketAddress(ip, 0), 512);
            Rig.startThread(this::acceptAll);
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void acceptAll() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Rig.startThread(() -> serve(socket));
                } catch (IOException e) {
                    // The listener was closed.
                }
            }
        }

        private void serve(Socket socket) {
            Channel channel = null;
            try {
                channel = new Channel(socket);
                channels.add(channel);
                while (channel.isKept) {
                    Request request = readRequest(channel.in);
                    if (request == null) {
                        return;
                    }
                    handler.handle(request, channel);
                }
            } catch (Exception e) {
                // The other side has closed the channel.
            } finally {
                if (channel != null) {
                    channels.remove(channel);
                    channel.close();
                }
            }
        }

        void closeChannels() {
            channels.forEach(Channel::close);
        }

        @Override
        public void close() throws IOException {
            server.close();
            closeChannels();
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.path = words.length > 1 ? words[1] : "";
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    /** Reads the answer on a channel of a client. */
    static Answer readAnswer(InputStream in) {
        Answer answer = new Answer();
        long startMillis = Rig.now();
        try {
            String first = readLine(in);
            if (first == null) {
                answer.failure = "the channel was closed";
            } else {
                answer.status = Integer.parseInt(first.split(" ")[1]);
                readHeaders(in, answer.headers);
                answer.body = readBody(in, answer.headers, true);
                answer.isComplete = true;
            }
        } catch (Exception e) {
            answer.failure = e.toString();
        }
        answer.millis = Rig.now() - startMillis;
        return answer;
    }

    /** Sends [request] on a new channel and waits for the answer until the client gives up. */
    static Answer send(String ip, int port, byte[] request, int timeoutMillis) {
        long startMillis = Rig.now();
        Answer answer;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            // A write blocks while the other side does not read.
            timer.schedule(() -> closeQuietly(socket), timeoutMillis, TimeUnit.MILLISECONDS);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            answer = readAnswer(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            answer = new Answer();
            answer.failure = e.toString();
        }
        answer.millis = Rig.now() - startMillis;
        return answer;
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c == '\n') {
                return line.toString();
            }
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the channel ended within a line");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the channel ended within a head");
            }
            if (line.isEmpty()) {
                return;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean isAnswer)
            throws IOException {
        String encoding = headers.get("Transfer-Encoding");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) {
            return readChunks(in);
        }
        String length = headers.get("Content-Length");
        if (length == null) {
            return isAnswer ? in.readAllBytes() : new byte[0];
        }
        return readFully(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the channel ended within a body");
            }
            int size = Integer.parseInt(line.trim(), 16);
            if (size > 0) {
                body.write(readFully(in, size));
            }
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the channel ended within a body");
        }
        return bytes;
    }
}
