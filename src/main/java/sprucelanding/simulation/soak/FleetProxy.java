package sprucelanding.simulation.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * A proxy of the fleet: it keeps the tables that it is sent, and dials another governor when its
 * stream ends.
 */
final class FleetProxy {
    /** What the fleet does for its proxies. */
    interface Host {
        /** A governor to dial, or -1 if none is up. */
        int governorFor(FleetProxy proxy);

        TcpConnection dial(int governor, TcpConnection.Listener listener);

        Channel channel(int governor);

        /** Whether the next acknowledgement is lost. */
        boolean dropsAcknowledgement();

        /** A message of that many lines, its head included, has come whole. */
        void messageSent(FleetProxy proxy, int governor, int lines);

        /** ms until a proxy without a stream dials again. */
        double redialDelay();
    }

    private static final double NO_GOVERNOR_RETRY_DELAY = 100; // ms until it looks again

    final int number;
    final String zone;
    private final EventLoop loop;
    private final Host host;
    private final String[] requestClasses;

    /** By class, the weights of the endpoints in its table. */
    private final Map<String, Map<String, Double>> tables = new HashMap<>();

    private final Set<String> ejectedEverywhere = new HashSet<>();
    private boolean standing = true;
    private Stream stream;
    private int governor = -1;
    private double joinedAt;

    /** When messages were written to it on its present stream. */
    private final ArrayDeque<Double> messageTimes = new ArrayDeque<>();

    FleetProxy(
            int number,
            String zone,
            EventLoop loop,
            Host host,
            String[] classes,
            List<String> endpoints) {
        this.number = number;
        this.zone = zone;
        this.loop = loop;
        this.host = host;
        this.requestClasses = classes;
        for (String name : classes) {
            Map<String, Double> table = new HashMap<>();
            endpoints.forEach(uid -> table.put(uid, 1.0));
            tables.put(name, table);
        }
    }

    /** Its governor, or -1 while it has none. */
    int governor() {
        return governor;
    }

    double joinedAt() {
        return joinedAt;
    }

    boolean mayPick(String uid) {
        if (ejectedEverywhere.contains(uid)) {
            return false;
        }
        for (Map<String, Double> table : tables.values()) {
            if (table.containsKey(uid)) {
                return true;
            }
        }
        return false;
    }

    /** Whether each class has an endpoint to pick. */
    boolean hasLines() {
        return tables.values().stream()
                .allMatch(
                        table ->
                                table.keySet().stream()
                                        .anyMatch(uid -> !ejectedEverywhere.contains(uid)));
    }

    ArrayDeque<Double> messageTimes() {
        return messageTimes;
    }

    void connect() {
        int governorNumber = host.governorFor(this);
        if (governorNumber < 0) {
            loop.schedule(NO_GOVERNOR_RETRY_DELAY, this::connect);
        } else {
            stream = new Stream(governorNumber);
            stream.currentConnection = host.dial(governorNumber, stream);
        }
    }

    /** Its stream is reset by the network, perhaps in the middle of a message. */
    void reset() {
        if (stream != null && stream.currentConnection != null) {
            stream.currentConnection.reset();
        }
    }

    /**
     * Its stream falls silent: nothing more is read or written on it, nobody is told, and it dials
     * again.
     */
    void silence() {
        if (stream != null && governor >= 0) {
            Stream previous = stream;
            previous.currentConnection.setReadPaused(true);
            loop.schedule(6000, previous.currentConnection::reset);
            onStreamLost();
        }
    }

    /** It leaves for another governor of its own accord. */
    void handOver() {
        if (stream != null && governor >= 0) {
            TcpConnection previous = stream.currentConnection;
            onStreamLost();
            previous.close();
        }
    }

    private void onStreamLost() {
        stream = null;
        governor = -1;
        messageTimes.clear();
        loop.schedule(host.redialDelay(), this::connect);
    }

    private final class Stream implements TcpConnection.Listener {
        private final int governorNumber;
        private TcpConnection currentConnection;
        private final StringBuilder line = new StringBuilder();
        private List<JsonObject> parts = new ArrayList<>();

        Stream(int governorNumber) {
            this.governorNumber = governorNumber;
        }

        @Override
        public void onConnected(TcpConnection connection) {
            currentConnection = connection;
            if (stream == this) {
                connection.write(
                        ("{\"msg\":\"joined\",\"sidecar\":"
                                        + number
                                        + ",\"az\":\""
                                        + zone
                                        + "\",\"share\":10.0,\"standing\":"
                                        + standing
                                        + "}\n")
                                .getBytes(StandardCharsets.US_ASCII));
                governor = governorNumber;
                joinedAt = EventLoop.nowMillis();
            }
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) {
            while (input.hasRemaining() && stream == this) {
                char next = (char) input.get();
                if (next == '\n') {
                    bufferPart(Json.parse(line.toString()).asObject());
                    line.setLength(0);
                } else {
                    line.append(next);
                }
            }
        }

        private void bufferPart(JsonObject part) {
            if (!part.getString("msg", "").equals("update")) {
                return;
            }
            parts.add(part);
            if (!part.getBoolean("continued", false)) {
                List<JsonObject> message = parts;
                parts = new ArrayList<>();
                int lines =
                        SoakPlan.MESSAGE_OVERHEAD_LINES
                                + message.stream().mapToInt(FleetProxy::lines).sum();
                messageTimes.addLast(EventLoop.nowMillis());
                host.messageSent(FleetProxy.this, governorNumber, lines);
                host.channel(governorNumber).send(lines, () -> applyMessage(message));
            }
        }

        private void applyMessage(List<JsonObject> message) {
            if (stream == this && currentConnection.isOpen()) {
                message.forEach(FleetProxy.this::apply);
                JsonValue mark = message.get(message.size() - 1).get("nonce_out");
                if (mark != null && !host.dropsAcknowledgement()) {
                    currentConnection.write(
                            ("{\"msg\":\"applied\",\"sidecar\":"
                                            + number
                                            + ",\"version\":"
                                            + mark.asInt()
                                            + ",\"lag_ms\":200.0}\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            }
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            if (stream == this) {
                onStreamLost();
            }
        }
    }

    private static int lines(JsonObject part) {
        int lines = part.getBoolean("full", false) ? 1 : 0;
        lines += part.get("admit") == null ? 0 : 1;
        lines += part.get("nonce_out") == null ? 0 : 1;
        for (String list : List.of("endpoints", "eject", "restore")) {
            JsonValue value = part.get(list);
            lines += value == null ? 0 : value.asArray().size();
        }
        return lines;
    }

    private void apply(JsonObject part) {
        standing = false;
        JsonValue routes = part.get("routes");
        if (part.get("endpoints") != null || part.getBoolean("full", false)) {
            if (routes == null) {
                for (String name : requestClasses) {
                    change(tables.get(name), part);
                }
            } else {
                routes.asArray().forEach(each -> change(tables.get(each.asString()), part));
            }
        }
        names(part, "eject").forEach(ejectedEverywhere::add);
        names(part, "restore").forEach(ejectedEverywhere::remove);
    }

    private static void change(Map<String, Double> table, JsonObject part) {
        if (part.getBoolean("full", false)) {
            table.clear();
        }
        JsonValue endpoints = part.get("endpoints");
        for (JsonValue line : endpoints == null ? new JsonArray() : endpoints.asArray()) {
            String uid = line.asArray().get(0).asString();
            double weight = line.asArray().get(1).asDouble();
            if (weight > 0) {
                table.put(uid, weight);
            } else {
                table.remove(uid);
            }
        }
    }

    private static List<String> names(JsonObject part, String field) {
        List<String> names = new ArrayList<>();
        JsonValue list = part.get(field);
        for (JsonValue each : list == null ? new JsonArray() : list.asArray()) {
            names.add(each.asString());
        }
        return names;
    }
}
