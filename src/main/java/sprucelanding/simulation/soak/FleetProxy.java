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
import java.util.OptionalInt;
import java.util.Set;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * A simulated proxy. The proxy keeps the tables that governors send, and connects to a governor
 * again when its stream ends. A proxy is used only on the soak's event loop. Times are in
 * milliseconds.
 */
final class FleetProxy {
    /** The services that the fleet provides to its proxies. */
    interface Host {
        /** Returns the governor that a proxy connects to; empty if no governor is up. */
        OptionalInt governorFor(FleetProxy proxy);

        /** Opens a connection to a governor. */
        TcpConnection connect(int governor, TcpConnection.Listener listener);

        /** Returns the channel of a governor. */
        Channel channel(int governor);

        /** Decides whether the next acknowledgement is lost. */
        boolean dropsAcknowledgement();

        /**
         * Handles the receipt of a complete message.
         *
         * @param entries table entries of the message, plus its overhead in entries
         */
        void messageReceived(FleetProxy proxy, int governor, int entries);

        /** Draws the delay before a proxy that lost its stream connects again. */
        double reconnectDelay();
    }

    /** Delay before a proxy looks for a governor again if none was up. */
    private static final double NO_GOVERNOR_RETRY_DELAY_MS = 100;

    /** Time after which the connection of a silent stream is reset, which the governor notices. */
    private static final double SILENT_STREAM_TIMEOUT_MS = 6000;

    private final int number;
    private final String zone;
    private final EventLoop loop;
    private final Host host;

    /** Tables by request class; each maps endpoints to weights. */
    private final Map<String, Map<String, Double>> tables = new HashMap<>();

    private final Set<String> ejectedEverywhere = new HashSet<>();
    private boolean hasInitialTables = true;
    private boolean isCutOff;
    private Stream stream;
    private OptionalInt governor = OptionalInt.empty();
    private double joinedAt;

    /** Times at which messages were received on the current stream. */
    private final ArrayDeque<Double> messageTimes = new ArrayDeque<>();

    FleetProxy(
            int number,
            String zone,
            EventLoop loop,
            Host host,
            String[] requestClasses,
            List<String> initialEndpoints) {
        this.number = number;
        this.zone = zone;
        this.loop = loop;
        this.host = host;
        for (String name : requestClasses) {
            Map<String, Double> table = new HashMap<>();
            initialEndpoints.forEach(uid -> table.put(uid, 1.0));
            tables.put(name, table);
        }
    }

    int number() {
        return number;
    }

    /** Adds a request class with its initial table. */
    void addOwnZoneClass(String name, List<String> initialEndpoints) {
        Map<String, Double> table = new HashMap<>();
        initialEndpoints.forEach(uid -> table.put(uid, 1.0));
        tables.put(name, table);
    }

    boolean isCutOff() {
        return isCutOff;
    }

    /** Sets whether the proxy reaches no governor. Its stream ends when that begins. */
    void setCutOff(boolean isCutOff) {
        this.isCutOff = isCutOff;
        if (isCutOff) {
            handOver();
        }
    }

    /** Returns whether the proxy holds an ejection of the endpoint. */
    boolean hasEjected(String uid) {
        return ejectedEverywhere.contains(uid);
    }

    /** Returns the governor that the proxy is connected to; empty if there is none. */
    OptionalInt governor() {
        return governor;
    }

    /** Returns the time at which the proxy last joined a governor. */
    double joinedAt() {
        return joinedAt;
    }

    /** Returns whether the proxy can send requests to an endpoint. */
    boolean canRouteTo(String uid) {
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

    /** Returns whether each request class has an endpoint that is not ejected. */
    boolean hasEndpointForEveryClass() {
        return tables.values().stream()
                .allMatch(
                        table ->
                                table.keySet().stream()
                                        .anyMatch(uid -> !ejectedEverywhere.contains(uid)));
    }

    /**
     * Returns the times at which messages were received on the current stream. The checker removes
     * old times.
     */
    ArrayDeque<Double> messageTimes() {
        return messageTimes;
    }

    /** Connects to a governor, or tries again after a delay if no governor is up. */
    void connect() {
        OptionalInt chosen = host.governorFor(this);
        if (chosen.isEmpty()) {
            loop.schedule(NO_GOVERNOR_RETRY_DELAY_MS, this::connect);
        } else {
            stream = new Stream(chosen.getAsInt());
            stream.currentConnection = host.connect(chosen.getAsInt(), stream);
        }
    }

    /** Resets the stream's connection, possibly in the middle of a message. */
    void resetStream() {
        if (stream != null && stream.currentConnection != null) {
            stream.currentConnection.reset();
        }
    }

    /**
     * Stops reading and writing on the stream without closing it, so that the governor does not
     * notice. The proxy then connects again.
     */
    void silenceStream() {
        if (stream != null && governor.isPresent()) {
            Stream previous = stream;
            previous.currentConnection.setReadPaused(true);
            loop.schedule(SILENT_STREAM_TIMEOUT_MS, previous.currentConnection::reset);
            onStreamLost();
        }
    }

    /** Closes the stream and then connects to the governor that the host chooses. */
    void handOver() {
        if (stream != null && governor.isPresent()) {
            TcpConnection previous = stream.currentConnection;
            onStreamLost();
            previous.close();
        }
    }

    private void onStreamLost() {
        stream = null;
        governor = OptionalInt.empty();
        messageTimes.clear();
        loop.schedule(host.reconnectDelay(), this::connect);
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
                                        + hasInitialTables
                                        + "}\n")
                                .getBytes(StandardCharsets.US_ASCII));
                governor = OptionalInt.of(governorNumber);
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
                int entries =
                        SoakPlan.MESSAGE_OVERHEAD_ENTRIES
                                + message.stream().mapToInt(FleetProxy::entryCount).sum();
                messageTimes.addLast(EventLoop.nowMillis());
                host.messageReceived(FleetProxy.this, governorNumber, entries);
                host.channel(governorNumber).send(entries, () -> applyMessage(message));
            }
        }

        private void applyMessage(List<JsonObject> message) {
            if (stream == this && currentConnection.isOpen()) {
                message.forEach(FleetProxy.this::applyPart);
                JsonValue nonce = message.get(message.size() - 1).get("nonce_out");
                if (nonce != null && !host.dropsAcknowledgement()) {
                    currentConnection.write(
                            ("{\"msg\":\"applied\",\"sidecar\":"
                                            + number
                                            + ",\"version\":"
                                            + nonce.asInt()
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

    private static int entryCount(JsonObject part) {
        int count = part.getBoolean("full", false) ? 1 : 0;
        count += part.get("admit") == null ? 0 : 1;
        count += part.get("nonce_out") == null ? 0 : 1;
        for (String list : List.of("endpoints", "eject", "restore")) {
            JsonValue value = part.get(list);
            count += value == null ? 0 : value.asArray().size();
        }
        return count;
    }

    private void applyPart(JsonObject part) {
        hasInitialTables = false;
        JsonValue routes = part.get("routes");
        if (part.get("endpoints") != null || part.getBoolean("full", false)) {
            if (routes == null) {
                tables.values().forEach(table -> updateTable(table, part));
            } else {
                routes.asArray().forEach(each -> updateTable(tables.get(each.asString()), part));
            }
        }
        strings(part, "eject").forEach(ejectedEverywhere::add);
        strings(part, "restore").forEach(ejectedEverywhere::remove);
    }

    private static void updateTable(Map<String, Double> table, JsonObject part) {
        if (part.getBoolean("full", false)) {
            table.clear();
        }
        JsonValue endpoints = part.get("endpoints");
        for (JsonValue entry : endpoints == null ? new JsonArray() : endpoints.asArray()) {
            String uid = entry.asArray().get(0).asString();
            double weight = entry.asArray().get(1).asDouble();
            if (weight > 0) {
                table.put(uid, weight);
            } else {
                table.remove(uid);
            }
        }
    }

    private static List<String> strings(JsonObject part, String field) {
        List<String> strings = new ArrayList<>();
        JsonValue list = part.get(field);
        for (JsonValue each : list == null ? new JsonArray() : list.asArray()) {
            strings.add(each.asString());
        }
        return strings;
    }
}
