package bed;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: keyed topics that are read, and one consumer group. */
public final class Store implements AutoCloseable {
    private static final int PARTITIONS = 12;

    private record Entry(String key, byte[] value) {
    }

    private record Member(List<String> topics, long expiresAtNanos) {
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final TreeMap<String, Member> members = new TreeMap<>();
    private long generation = 1;
    private final Server server;

    public Store() throws IOException {
        server = new Server("127.0.0.1", 0, true, this::handle);
    }

    public String address() {
        return server.address();
    }

    /** Appends a record; a null value removes the key. */
    public void put(String topic, String key, String value) {
        synchronized (topics) {
            byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
            topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key, bytes));
            topics.notifyAll();
        }
    }

    private void handle(Http.Message request, Server.Connection connection) throws Exception {
        String path = request.path();
        int mark = path.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : path.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            path = path.substring(0, mark);
        }
        switch (path) {
            case "/log-newest" -> respondJson(connection, newest(query));
            case "/log-read" -> read(query, connection);
            case "/log-join" -> respondJson(connection, join(request.text()));
            case "/log-leave" -> respondJson(connection, leave(request.text()));
            case "/log-owners" -> respondJson(connection, owners());
            default -> connection.respond(404, "Store-Era: 1\r\n", new byte[0]);
        }
    }

    private void respondJson(Server.Connection connection, String json) throws IOException {
        connection.respond(200, "Store-Era: 1\r\nContent-Type: application/json\r\n",
                json.getBytes(StandardCharsets.UTF_8));
    }

    private String newest(Map<String, String> query) {
        synchronized (topics) {
            List<Entry> entries = topics.computeIfAbsent(query.get("Topic"), t -> new ArrayList<>());
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int i = 0; i < entries.size(); i++) newest.put(entries.get(i).key(), i);
            List<String> items = new ArrayList<>();
            for (Map.Entry<String, Integer> e : newest.entrySet()) {
                byte[] value = entries.get(e.getValue()).value();
                if (value.length == 0) continue;
                items.add("{\"Key\":\"" + e.getKey() + "\",\"Value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"Offset\":" + e.getValue() + "}");
            }
            return "{\"Items\":[" + String.join(",", items) + "],\"HasMore\":false,\"EndOffset\":"
                    + entries.size() + "}";
        }
    }

    private void read(Map<String, String> query, Server.Connection connection) throws Exception {
        int from = Integer.parseInt(query.get("From"));
        long waitMillis = Long.parseLong(query.getOrDefault("WaitMs", "0"));
        long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (topics) {
            List<Entry> entries = topics.computeIfAbsent(query.get("Topic"), t -> new ArrayList<>());
            while (entries.size() <= from) {
                long millis = (untilNanos - System.nanoTime()) / 1_000_000;
                if (millis <= 0) break;
                topics.wait(millis);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(entries.size());
            out.writeLong(0);
            for (int i = from; i < entries.size(); i++) {
                Entry e = entries.get(i);
                byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + e.value().length);
                out.writeByte(key.length);
                out.write(key);
                out.write(e.value());
            }
        }
        connection.respond(200, "Store-Era: 1\r\n", bytes.toByteArray());
    }

    private String join(String body) {
        String member = field(body, "\"Member\":\"([^\"]*)\"");
        long ttlMillis = Long.parseLong(field(body, "\"TtlMs\":(\\d+)"));
        List<String> names = new ArrayList<>();
        Matcher m = Pattern.compile("\"([^\"]+)\"").matcher(field(body, "\"Topics\":\\[([^\\]]*)\\]"));
        while (m.find()) names.add(m.group(1));
        synchronized (members) {
            expire();
            if (!members.containsKey(member)) generation++;
            members.put(member, new Member(names, System.nanoTime() + ttlMillis * 1_000_000));
            List<String> rows = new ArrayList<>();
            assignments().forEach((part, owner) -> {
                if (owner.equals(member)) rows.add("[" + part + ",0]");
            });
            return "{\"Generation\":" + generation + ",\"TtlMs\":" + ttlMillis + ",\"parts\":["
                    + String.join(",", rows) + "]}";
        }
    }

    private String leave(String body) {
        synchronized (members) {
            expire();
            if (members.remove(field(body, "\"Member\":\"([^\"]*)\"")) != null) generation++;
            return "{}";
        }
    }

    private String owners() {
        synchronized (members) {
            expire();
            List<String> rows = new ArrayList<>();
            assignments().forEach((part, owner) -> rows.add("[" + part + ",\"" + owner + "\",0]"));
            return "{\"Items\":[" + String.join(",", rows) + "]}";
        }
    }

    private void expire() {
        long now = System.nanoTime();
        if (members.values().removeIf(m -> m.expiresAtNanos() < now)) generation++;
    }

    private Map<String, String> assignments() {
        Map<String, String> result = new LinkedHashMap<>();
        if (members.isEmpty()) return result;
        List<String> names = new ArrayList<>(members.keySet());
        int i = 0;
        for (String topic : members.firstEntry().getValue().topics()) {
            for (int part = 0; part < PARTITIONS; part++) {
                result.put("\"" + topic + "\"," + part, names.get(i++ % names.size()));
            }
        }
        return result;
    }

    private static String field(String text, String pattern) {
        Matcher m = Pattern.compile(pattern).matcher(text);
        return m.find() ? m.group(1) : "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
