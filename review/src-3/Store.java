import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the platform's metadata store: keyed topics and consumer groups, as PROTOCOL.md
 * describes them. It keeps everything in memory and answers at once.
 */
final class Store {
    private static final int PARTS = 12;

    private record Item(long offset, String key, byte[] value) {}

    private static final class Topic {
        final List<Item> log = new ArrayList<>();
        final Map<String, Item> newest = new TreeMap<>();
    }

    private static final class Member {
        long expiresAtMillis;
        long generation;
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();

    /** The member that holds each partition of the group, and the one that is to hold it. */
    private final Map<String, String> owners = new TreeMap<>();
    private final Map<String, String> targets = new TreeMap<>();
    private long generation = 0;
    private final HttpServer server;

    Store(String host, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(Executors.newCachedThreadPool(Kit::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Appends a record to a keyed topic and returns its offset; an empty value removes the key. */
    synchronized long put(String topic, String key, String value) {
        Topic t = topics.computeIfAbsent(topic, k -> new Topic());
        Item item = new Item(t.log.size(), key, value.getBytes(StandardCharsets.UTF_8));
        t.log.add(item);
        if (value.isEmpty()) t.newest.remove(key);
        else t.newest.put(key, item);
        notifyAll();
        return item.offset();
    }

    /** The member that holds partition [part] of the first duty topic, or "". */
    synchronized String owner(int part) {
        for (Map.Entry<String, String> e : owners.entrySet()) {
            if (e.getKey().endsWith("-0 " + part)) return e.getValue();
        }
        return "";
    }

    private void handle(HttpExchange x) throws IOException {
        try (x) {
            Map<String, String> q = query(x.getRequestURI().getRawQuery());
            String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            switch (x.getRequestURI().getPath()) {
                case "/log-newest" -> reply(x, 200, newest(q));
                case "/log-read" -> read(x, q);
                case "/log-join" -> reply(x, 200, join(body));
                case "/log-leave" -> reply(x, 200, leave(body));
                case "/log-owners" -> reply(x, 200, ownerRows());
                default -> reply(x, 404, "{}");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String newest(Map<String, String> q) {
        Topic t = topics.computeIfAbsent(q.get("Topic"), k -> new Topic());
        String after = q.getOrDefault("After", "");
        StringBuilder items = new StringBuilder();
        for (Item i : t.newest.values()) {
            if (i.key().compareTo(after) <= 0 && !after.isEmpty()) continue;
            if (items.length() > 0) items.append(',');
            items.append("{\"Key\":\"").append(i.key()).append("\",\"Value\":\"")
                .append(Base64.getEncoder().encodeToString(i.value()))
                .append("\",\"Offset\":").append(i.offset()).append('}');
        }
        return "{\"Items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" + t.log.size() + "}";
    }

    private void read(HttpExchange x, Map<String, String> q)
        throws IOException, InterruptedException {
        int from = Integer.parseInt(q.get("From"));
        long untilMillis = Kit.now() + Long.parseLong(q.getOrDefault("WaitMs", "0"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Topic t = topics.computeIfAbsent(q.get("Topic"), k -> new Topic());
            while (t.log.size() <= from && Kit.now() < untilMillis) {
                wait(Math.max(1, untilMillis - Kit.now()));
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(t.log.size());
            out.writeLong(0);
            for (int i = from; i < t.log.size(); i++) {
                byte[] key = t.log.get(i).key().getBytes(StandardCharsets.UTF_8);
                byte[] value = t.log.get(i).value();
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
        }
        send(x, 200, "application/octet-stream", bytes.toByteArray());
    }

    private synchronized String join(String body) {
        expire();
        String name = field(body, "Member");
        Member m = members.get(name);
        if (m == null) {
            m = new Member();
            members.put(name, m);
            for (String topic : field(body, "Topics", "\\[([^]]*)]").split(",")) {
                for (int p = 0; p < PARTS; p++) {
                    targets.putIfAbsent(topic.replace("\"", "").trim() + " " + p, "");
                }
            }
            deal();
        }
        m.expiresAtMillis = Kit.now() + Long.parseLong(field(body, "TtlMs", "(\\d+)"));
        m.generation = Math.max(m.generation, Long.parseLong(field(body, "Generation", "(\\d+)")));
        move();
        StringBuilder rows = new StringBuilder();
        for (Map.Entry<String, String> e : owners.entrySet()) {
            if (!e.getValue().equals(name) || !name.equals(targets.get(e.getKey()))) continue;
            String[] p = e.getKey().split(" ");
            if (rows.length() > 0) rows.append(',');
            rows.append("[\"").append(p[0]).append("\",").append(p[1]).append(",0]");
        }
        return "{\"Generation\":" + generation + ",\"parts\":[" + rows + "]}";
    }

    private synchronized String leave(String body) {
        if (members.remove(field(body, "Member")) != null) deal();
        return "{}";
    }

    private synchronized String ownerRows() {
        expire();
        StringBuilder rows = new StringBuilder();
        for (Map.Entry<String, String> e : owners.entrySet()) {
            if (e.getValue().isEmpty()) continue;
            String[] p = e.getKey().split(" ");
            if (rows.length() > 0) rows.append(',');
            rows.append("[\"").append(p[0]).append("\",").append(p[1]).append(",\"")
                .append(e.getValue()).append("\",0]");
        }
        return "{\"Items\":[" + rows + "]}";
    }

    private void expire() {
        if (members.values().removeIf(m -> m.expiresAtMillis < Kit.now())) deal();
    }

    /** Distributes the partitions evenly over the members; a member keeps what it can. */
    private void deal() {
        generation++;
        Map<String, Integer> counts = new LinkedHashMap<>();
        members.keySet().forEach(m -> counts.put(m, 0));
        if (counts.isEmpty()) {
            targets.replaceAll((k, v) -> "");
            owners.replaceAll((k, v) -> "");
            return;
        }
        int most = (targets.size() + counts.size() - 1) / counts.size();
        List<String> open = new ArrayList<>();
        for (Map.Entry<String, String> e : targets.entrySet()) {
            Integer held = counts.get(e.getValue());
            if (held == null || held >= most) open.add(e.getKey());
            else counts.put(e.getValue(), held + 1);
        }
        for (String key : open) {
            String least = counts.entrySet().stream().min(Map.Entry.comparingByValue())
                .orElseThrow().getKey();
            counts.merge(least, 1, Integer::sum);
            targets.put(key, least);
        }
        move();
    }

    /** Hands over the partitions whose last owner has left or knows this generation. */
    private void move() {
        for (Map.Entry<String, String> e : targets.entrySet()) {
            String owner = owners.getOrDefault(e.getKey(), "");
            if (owner.equals(e.getValue())) continue;
            Member last = members.get(owner);
            if (last == null || last.generation >= generation) {
                owners.put(e.getKey(), e.getValue());
            }
        }
    }

    private static String field(String body, String name) {
        return field(body, name, "\"([^\"]*)\"");
    }

    private static String field(String body, String name, String value) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*" + value).matcher(body);
        if (!m.find()) throw new IllegalArgumentException(name + " is missing in " + body);
        return m.group(1);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> q = new HashMap<>();
        if (raw == null) return q;
        for (String p : raw.split("&")) {
            int i = p.indexOf('=');
            q.put(p.substring(0, i),
                URLDecoder.decode(p.substring(i + 1), StandardCharsets.UTF_8));
        }
        return q;
    }

    private static void reply(HttpExchange x, int status, String json) throws IOException {
        send(x, status, "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    private static void send(HttpExchange x, int status, String type, byte[] body)
        throws IOException {
        x.getResponseHeaders().set("Content-Type", type);
        x.getResponseHeaders().set("Store-Era", "1");
        x.sendResponseHeaders(status, body.length);
        x.getResponseBody().write(body);
    }
}
