package bed;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
public final class Http {
    private Http() {
    }

    /** A request or a response; the names of its headers are in lower case. */
    public static final class Message {
        public String startLine;
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];

        public String method() {
            return startLine.split(" ")[0];
        }

        public String path() {
            return startLine.split(" ")[1];
        }

        public int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; null if the stream ends before its first byte. */
    public static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message();
        message.startLine = first;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the stream ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon < 1) throw new IOException("malformed header line: " + line);
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Reads a whole message; null if the stream ends before its first byte. */
    public static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) readBody(in, message);
        return message;
    }

    public static void readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String coding = message.header("transfer-encoding");
        if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("the stream ended within a body");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                body.write(readExactly(in, size));
                if (size == 0) {
                    while (true) {
                        String trailer = readLine(in);
                        if (trailer == null) throw new EOFException("the stream ended within a trailer");
                        if (trailer.isEmpty()) break;
                    }
                    break;
                }
                readLine(in);
            }
        } else {
            String length = message.header("content-length");
            if (length != null) body.write(readExactly(in, Integer.parseInt(length)));
        }
        message.body = body.toByteArray();
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the stream ended within a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the stream ended within a line");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }
}
