package bed;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a gateway. */
public final class Caller implements AutoCloseable {
    public final Socket socket = new Socket();
    public final InputStream in;
    private final OutputStream out;

    public Caller(Gateway gateway, int readTimeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(gateway.ip(), gateway.port()), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readTimeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
        out = socket.getOutputStream();
    }

    public void send(String method, String path, String id, String headers, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\n"
                + "Authorization: Bearer key-one\r\n" + headers
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
