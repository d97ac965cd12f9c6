package sprucereview2;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** A proxy, as the protocol page has it. It does as its tables say, and keeps them. */
final class Proxy {
    /** One stream to a governor. */
    private final class Stream {
        final Socket socket;
        final Governor governor;
        final ArrayDeque<Double> messageTimes = new ArrayDeque<>();
        final ArrayDeque<Runnable> inTransit = new ArrayDeque<>();
        double lastApply;
        volatile boolean isOpen = true;

        Stream(Socket socket, Governor governor) {
            this.socket = socket;
            this.governor = governor;
        }

        synchronized void send(JsonObject message) {
            try {
                socket.getOutputStream().write((message + "\n").getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                isOpen = false;
            }
        }
    }

    final int number;
    final String zone;
    final double rate;
    private final Fleet fleet;
    private final SplittableRandom random;
    private final List<Map<String, Double>> tables = new ArrayList<>();
    private final Set<String> ejected = new HashSet<>();
    private final double[] admitted;
    private boolean hasOrderedTable;
    private volatile Stream stream;
    private volatile boolean isUp = true;

    /** The governor whose order counts for this proxy now; null while it has joined none. */
    volatile Governor joinedTo;

    volatile double joinedAt;

    /** When the last message arrived on the present stream, ms. */
    volatile double lastMessageAt = Double.NEGATIVE_INFINITY;

    /** By class, since when there is no line to pick; infinite while there is one. */
    final double[] bareSince;

    final int[] arrived;
    final int[] unserved;

    Proxy(Fleet fleet, int number, String zone, double rate) {
        this.fleet = fleet;
        this.number = number;
        this.zone = zone;
        this.rate = rate;
        random = new SplittableRandom(number);
        int classes = fleet.plan.classes.length;
        admitted = new double[classes];
        bareSince = new double[classes];
        arrived = new int[classes];
        unserved = new int[classes];
        start();
    }

    /** Starts the process with a standing table, drawn from the list. */
    private void start() {
        synchronized (tables) {
            tables.clear();
            ejected.clear();
            hasOrderedTable = false;
            List<Replica> ready = new ArrayList<>();
            for (Replica replica : fleet.replicas.values()) {
                boolean isListed = replica.state.equals("ready");
                if (isListed && replica.zone.equals(zone)) {
                    ready.add(replica);
                }
            }
            for (int c = 0; c < admitted.length; c++) {
                Map<String, Double> table = new LinkedHashMap<>();
                for (int i = 0; i < 6 && !ready.isEmpty(); i++) {
                    table.put(ready.get(random.nextInt(ready.size())).uid, 1.0);
                }
                tables.add(table);
                admitted[c] = 1;
                bareSince[c] = Double.POSITIVE_INFINITY;
            }
        }
    }

    /** Keeps a stream open: dials again after a break, another governor if need be. */
    void run() {
        try {
            while (!fleet.isClosed) {
                if (isUp) {
                    Governor governor = fleet.governorFor(this);
                    if (governor != null) {
                        follow(governor);
                    }
                }
                long pause = (long) random.nextDouble(fleet.plan.redialLeast, fleet.plan.redialMost);
                Thread.sleep(pause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void follow(Governor governor) {
        try (Socket socket = new Socket()) {
            socket.connect(governor.address, 1000);
            socket.setTcpNoDelay(true);
            Stream current = new Stream(socket, governor);
            JsonObject joined = new JsonObject().add("msg", "joined").add("sidecar", number);
            joined.add("az", zone).add("share", rate);
            synchronized (tables) {
                joined.add("standing", !hasOrderedTable);
                Arrays.fill(bareSince, Double.POSITIVE_INFINITY);
            }
            stream = current;
            current.send(joined);
            joinedAt = Recorder.now();
            lastMessageAt = Double.NEGATIVE_INFINITY;
            joinedTo = governor;
            read(current);
        } catch (IOException e) {
            // a break; what was in flight is lost
        }
        Stream ended = stream;
        if (ended != null && ended.isOpen) {
            fleet.record.line("proxy %d: its stream to %d ended", number, governor.number);
            ended.isOpen = false;
        }
        joinedTo = null;
        stream = null;
    }

    private void read(Stream current) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                current.socket.getInputStream(), StandardCharsets.UTF_8));
        List<JsonObject> parts = new ArrayList<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            JsonObject part = Json.parse(line).asObject();
            String kind = part.getString("msg", "");
            if (kind.equals("refused")) {
                fleet.record.line("proxy %d: refused", number);
                return;
            }
            if (kind.equals("update")) {
                parts.add(part);
                if (!part.getBoolean("continued", false)) {
                    arrived(current, List.copyOf(parts));
                    parts.clear();
                }
            }
        }
    }

    private static int size(JsonObject part, String field) {
        JsonValue value = part.get(field);
        return value == null ? 0 : value.asArray().size();
    }

    /** A message has arrived: it enters the channel, and is applied when it has passed it. */
    private void arrived(Stream current, List<JsonObject> parts) {
        double now = Recorder.now();
        int lines = fleet.plan.head;
        for (JsonObject part : parts) {
            lines += size(part, "endpoints") + size(part, "eject") + size(part, "restore");
            lines += part.get("full") == null ? 0 : 1;
            lines += part.get("admit") == null ? 0 : 1;
            lines += part.get("nonce_out") == null ? 0 : 1;
        }
        lastMessageAt = now;
        synchronized (current.messageTimes) {
            current.messageTimes.add(now);
        }
        int recent = recentMessages();
        boolean isLimited = fleet.plan.messageLimit > 0;
        fleet.judge.messages(this, isLimited ? recent : 0);
        int waiting =
                current.governor.channel.add(
                        lines,
                        () -> current.isOpen,
                        () -> leftChannel(current, () -> apply(current, parts, now)));
        fleet.judge.queue(current.governor, waiting);
        if (number < fleet.plan.recordedProxies) {
            fleet.record.line("proxy %d reads %s (%d lines wait)", number, parts, waiting);
        }
    }

    /** Returns the number of messages that have arrived on the stream within the span. */
    int recentMessages() {
        Stream current = stream;
        if (current == null) {
            return 0;
        }
        synchronized (current.messageTimes) {
            double from = Recorder.now() - fleet.plan.messageSpan;
            current.messageTimes.removeIf(time -> time < from);
            return current.messageTimes.size();
        }
    }

    /** A message is on its way; messages of a stream are applied in their order. */
    private void leftChannel(Stream current, Runnable apply) {
        synchronized (current.inTransit) {
            current.inTransit.add(apply);
        }
        current.lastApply = Math.max(current.lastApply, Recorder.now() + fleet.transit());
        fleet.at(
                current.lastApply,
                () -> {
                    synchronized (current.inTransit) {
                        current.inTransit.remove().run();
                    }
                });
    }

    private void apply(Stream current, List<JsonObject> parts, double arrivedAt) {
        if (!current.isOpen || !isUp) {
            return;
        }
        synchronized (tables) {
            parts.forEach(this::apply);
        }
        JsonValue mark = parts.get(parts.size() - 1).get("nonce_out");
        if (mark != null && !fleet.losesAcknowledgement(this)) {
            current.send(
                    new JsonObject()
                            .add("msg", "applied")
                            .add("sidecar", number)
                            .add("version", mark.asInt())
                            .add("lag_ms", Recorder.now() - arrivedAt));
        }
    }

    private void apply(JsonObject part) {
        Set<Integer> classes = new HashSet<>();
        JsonValue routes = part.get("routes");
        for (int c = 0; c < admitted.length; c++) {
            if (routes == null || routes.asArray().values().contains(Json.value(fleet.plan.classes[c]))) {
                classes.add(c);
            }
        }
        for (int c : classes) {
            Map<String, Double> table = tables.get(c);
            if (part.get("full") != null) {
                table.clear();
                admitted[c] = 1;
                hasOrderedTable = true;
            }
            if (part.get("endpoints") != null) {
                for (JsonValue line : part.get("endpoints").asArray()) {
                    double weight = line.asArray().get(1).asDouble();
                    if (weight > 0) {
                        table.put(line.asArray().get(0).asString(), weight);
                    } else {
                        table.remove(line.asArray().get(0).asString());
                    }
                    hasOrderedTable = true;
                }
            }
            admitted[c] = part.get("admit") == null ? admitted[c] : part.get("admit").asDouble();
        }
        if (part.get("eject") != null) {
            part.get("eject").asArray().forEach(uid -> ejected.add(uid.asString()));
        }
        if (part.get("restore") != null) {
            part.get("restore").asArray().forEach(uid -> ejected.remove(uid.asString()));
        }
    }

    /** Lets requests of a class come in for a time, ms. */
    void traffic(int requestClass, double span, double factor) {
        double expected = rate * factor * fleet.plan.shares[requestClass] * span / 1000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            request(requestClass);
        }
    }

    private void request(int requestClass) {
        String chosen = null;
        synchronized (tables) {
            if (random.nextDouble() >= admitted[requestClass]) {
                return;
            }
            double total = 0;
            for (Map.Entry<String, Double> line : tables.get(requestClass).entrySet()) {
                if (!ejected.contains(line.getKey())) {
                    total += line.getValue();
                    chosen =
                            random.nextDouble() * total < line.getValue() ? line.getKey() : chosen;
                }
            }
        }
        synchronized (arrived) {
            arrived[requestClass]++;
            unserved[requestClass] += chosen == null ? 1 : 0;
        }
        if (chosen != null) {
            fleet.request(this, requestClass, chosen);
        }
    }

    /** Returns whether there is a line to pick for a class. */
    boolean hasLine(int requestClass) {
        synchronized (tables) {
            return tables.get(requestClass).keySet().stream().anyMatch(u -> !ejected.contains(u));
        }
    }

    /** Returns whether a request of the class may be sent to the replica. */
    boolean mayUse(int requestClass, String uid) {
        synchronized (tables) {
            return tables.get(requestClass).containsKey(uid) && !ejected.contains(uid);
        }
    }

    String holdings(int requestClass) {
        synchronized (tables) {
            return "table " + tables.get(requestClass) + " shut out " + ejected;
        }
    }

    /** Sends the report on the requests of a class that came in within the window, ms. */
    void reportUsage(int c, double window) {
        Stream current = stream;
        if (current == null) {
            return;
        }
        JsonObject usage = new JsonObject().add("msg", "usage").add("sidecar", number);
        synchronized (arrived) {
            usage.add("kind", fleet.plan.classes[c]).add("n", arrived[c]);
            usage.add("bad", Math.min(arrived[c], unserved[c])).add("window", window);
            arrived[c] = 0;
            unserved[c] = 0;
        }
        current.send(usage);
    }

    /** Breaks the stream by a reset. */
    void breakStream() throws IOException {
        Stream current = stream;
        if (current != null) {
            current.isOpen = false;
            joinedTo = null;
            current.socket.setSoLinger(true, 0);
            current.socket.close();
        }
    }

    /** Kills the process. */
    void kill() throws IOException {
        isUp = false;
        breakStream();
    }

    /** Starts the process again, with a standing table. */
    void restart() {
        start();
        isUp = true;
    }

    /** Returns by class the number of lines, for the record. */
    Map<String, Integer> sizes() {
        Map<String, Integer> sizes = new HashMap<>();
        synchronized (tables) {
            for (int c = 0; c < admitted.length; c++) {
                sizes.put(fleet.plan.classes[c], tables.get(c).size());
            }
        }
        return sizes;
    }
}
