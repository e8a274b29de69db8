import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A stand-in of the platform's store: the keyed topics that the operator and the runners write, and
 * one consumer group. Each gateway has an entrance of its own, so that one can be cut off alone.
 */
final class Store {
    private static final int PARTS = 12;
    private static final long ANSWER_MILLIS = 2;

    private record Entry(byte[] key, byte[] value) {
    }

    /** A part of a topic of the group, and the member that holds it. */
    private record Held(String topic, int part, String member) {
    }

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Long> expiryByMember = new TreeMap<>();
    private List<String> groupTopics = List.of();
    private long generation = 1;

    /** The way from one gateway to the store. */
    final class Entrance {
        private final Http.Listener listener;
        private volatile boolean isCut;

        private Entrance() throws IOException {
            listener = new Http.Listener("127.0.0.1", this::handle);
        }

        String address() {
            return listener.address();
        }

        /** Partitions the gateway from the store: what it sends from now on is not answered. */
        void cut() {
            isCut = true;
        }

        /** Heals the cut. Channels from before are closed, as their calls were lost. */
        void heal() {
            isCut = false;
            listener.closeChannels();
        }

        void close() throws IOException {
            listener.close();
        }

        private void handle(Http.Request request, Http.Channel channel) throws Exception {
            boolean wasCut = isCut;
            byte[] body = wasCut ? null : Store.this.handle(request);
            if (wasCut || isCut) {
                // The answer is lost, and so is whatever else comes on this channel.
                Thread.sleep(120_000);
            }
            int status = body == null ? 410 : 200;
            channel.answer(status, "Store-Era: 1\r\n", body == null ? "{}".getBytes() : body);
        }
    }

    Entrance newEntrance() throws IOException {
        return new Entrance();
    }

    /** Writes a record; a null [value] removes the key. The return is the store's ack. */
    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : value.getBytes();
        topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key.getBytes(), bytes));
        notifyAll();
    }

    /** The name of the member that holds [part] of the first topic of the group; null if none. */
    synchronized String holder(int part) {
        String first = groupTopics.isEmpty() ? null : groupTopics.get(0);
        return held().stream().filter(h -> h.topic.equals(first) && h.part == part)
            .map(Held::member).findFirst().orElse(null);
    }

    /** Returns the body of the answer, or null if the records are not there. */
    private byte[] handle(Http.Request request) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        String[] target = request.path.split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            Stream.of(target[1].split("&")).map(pair -> pair.split("=", 2))
                .forEach(pair -> query.put(pair[0], pair[1]));
        }
        String body = new String(request.body);
        return switch (target[0]) {
            case "/log-newest" -> newest(query.get("Topic")).getBytes();
            case "/log-read" -> read(
                query.get("Topic"),
                Integer.parseInt(query.get("From")),
                Long.parseLong(query.getOrDefault("WaitMs", "0"))
            );
            case "/log-join" -> join(body).getBytes();
            case "/log-leave" -> leave(body).getBytes();
            case "/log-owners" -> owners().getBytes();
            default -> throw new IOException("unknown call " + request.path);
        };
    }

    private synchronized String newest(String topic) {
        List<Entry> records = topics.getOrDefault(topic, List.of());
        Map<String, Integer> last = new TreeMap<>();
        for (int i = 0; i < records.size(); i++) {
            last.put(new String(records.get(i).key), i);
        }
        StringJoiner items = new StringJoiner(",");
        last.forEach((key, offset) -> {
            byte[] value = records.get(offset).value;
            if (value.length > 0) {
                items.add("{\"Key\":\"" + key + "\",\"Value\":\""
                    + Base64.getEncoder().encodeToString(value) + "\",\"Offset\":" + offset + "}");
            }
        });
        return "{\"Items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" + records.size() + "}";
    }

    private synchronized byte[] read(String topic, int from, long waitMillis) throws Exception {
        List<Entry> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        if (from > records.size()) {
            return null;
        }
        long endMillis = Rig.now() + waitMillis;
        while (records.size() <= from && Rig.now() < endMillis) {
            wait(Math.max(1, endMillis - Rig.now()));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(records.size());
        out.writeLong(0);
        for (Entry e : records.subList(from, records.size())) {
            out.writeInt(1 + e.key.length + e.value.length);
            out.writeByte(e.key.length);
            out.write(e.key);
            out.write(e.value);
        }
        return bytes.toByteArray();
    }

    private synchronized String join(String body) {
        expire();
        String member = group("\"Member\":\"([^\"]*)\"", body);
        long ttlMillis = Long.parseLong(group("\"TtlMs\":(\\d+)", body));
        groupTopics = Stream.of(group("\"Topics\":\\[([^\\]]*)\\]", body).split(","))
            .map(t -> t.replace("\"", "").trim()).toList();
        if (expiryByMember.put(member, Rig.now() + ttlMillis) == null) {
            generation++;
        }
        StringJoiner parts = new StringJoiner(",");
        held().stream().filter(h -> h.member.equals(member))
            .forEach(h -> parts.add("[\"" + h.topic + "\"," + h.part + ",0]"));
        return "{\"Generation\":" + generation + ",\"TtlMs\":" + ttlMillis + ",\"parts\":[" + parts
            + "]}";
    }

    private synchronized String leave(String body) {
        if (expiryByMember.remove(group("\"Member\":\"([^\"]*)\"", body)) != null) {
            generation++;
        }
        return "{}";
    }

    private synchronized String owners() {
        expire();
        StringJoiner rows = new StringJoiner(",");
        for (Held h : held()) {
            rows.add("[\"" + h.topic + "\"," + h.part + ",\"" + h.member + "\",0]");
        }
        return "{\"Items\":[" + rows + "]}";
    }

    private void expire() {
        long nowMillis = Rig.now();
        if (expiryByMember.values().removeIf(expiry -> expiry < nowMillis)) {
            generation++;
        }
    }

    /** Distributes the parts evenly over the members. */
    private List<Held> held() {
        List<String> members = new ArrayList<>(expiryByMember.keySet());
        List<Held> held = new ArrayList<>();
        for (String topic : members.isEmpty() ? List.<String>of() : groupTopics) {
            for (int part = 0; part < PARTS; part++) {
                held.add(new Held(topic, part, members.get(held.size() % members.size())));
            }
        }
        return held;
    }

    private static String group(String pattern, String text) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IllegalArgumentException("no " + pattern + " in " + text);
        }
        return matcher.group(1);
    }
}
