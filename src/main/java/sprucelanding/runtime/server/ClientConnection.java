package sprucelanding.runtime.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import sprucelanding.control.settings.MalformedInputException;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.TcpConnection;

/**
 * A connection at the door: nobody yet, then a proxy's stream or a zone's collector. A message is a
 * JSON object on a line.
 */
final class ClientConnection implements TcpConnection.Listener, ControllerHost.UpdateStream {
    private enum Role {
        UNJOINED,
        PROXY,
        COLLECTOR
    }

    static final int MAX_UNSENT_BYTES = 256 << 10; // its proxy gives up at half of that
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final int MAX_FIRST_LINE_BYTES = 4096; // of one that has not joined
    private static final double MAX_NUMBER = 1e7; // txns, or ms: nothing here comes near
    private static final int MAX_PENDING_ACKNOWLEDGEMENTS = 64; // that may be open at once
    private static final byte[] PONG = "{\"msg\":\"pong\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] REFUSED =
            "{\"msg\":\"refused\"}\n".getBytes(StandardCharsets.US_ASCII);

    private final ConnectionListener listener;
    private final ControllerHost host;
    private final int proxyCount;
    final double acceptedAtMillis;
    TcpConnection transport;
    private Role role = Role.UNJOINED;
    private int proxyId;
    private byte[] lineBuffer = new byte[256];
    private int lineLength;
    private final ArrayDeque<Integer> pendingAcknowledgements = new ArrayDeque<>(4);
    private double lastReceivedMillis;

    /** When the oldest answer that is owed was asked for; it moves on with each that comes. */
    private double acknowledgementRequestedMillis;

    ClientConnection(
            ConnectionListener listener,
            ControllerHost host,
            int proxyCount,
            double acceptedAtMillis) {
        this.listener = listener;
        this.host = host;
        this.proxyCount = proxyCount;
        this.acceptedAtMillis = acceptedAtMillis;
        listener.reserveBytes(lineBuffer.length);
    }

    @Override
    public void onReceived(TcpConnection connection, ByteBuffer buffer) {
        lastReceivedMillis = EventLoop.nowMillis();
        while (buffer.hasRemaining() && connection.isOpen() && !connection.isFinishing()) {
            byte next = buffer.get();
            if (next == '\n') {
                int length = lineLength;
                lineLength = 0;
                handleMessage(new String(lineBuffer, 0, length, StandardCharsets.UTF_8));
                if (length > MAX_FIRST_LINE_BYTES) {
                    listener.reserveBytes(256 - lineBuffer.length);
                    lineBuffer = new byte[256];
                }
            } else if (lineLength
                    >= (role == Role.UNJOINED ? MAX_FIRST_LINE_BYTES : MAX_LINE_BYTES)) {
                rejectUnreadable("a line without an end");
            } else {
                if (lineLength == lineBuffer.length) {
                    if (!listener.reserveBytes(lineLength)) {
                        rejectUnreadable("too much of it is unfinished");
                        return;
                    }
                    lineBuffer = Arrays.copyOf(lineBuffer, 2 * lineLength);
                }
                lineBuffer[lineLength++] = next;
            }
        }
    }

    private void handleMessage(String text) {
        JsonObject json;
        try {
            json = Json.parse(text).asObject();
        } catch (ParseException | UnsupportedOperationException | StackOverflowError e) {
            rejectUnreadable("no JSON object");
            return;
        }
        try {
            handleMessage(json);
        } catch (MalformedInputException e) {
            if (role == Role.UNJOINED) {
                reject(e.getMessage());
            } else {
                listener.messageDropped(e.getMessage());
            }
        }
    }

    private void handleMessage(JsonObject json) {
        String type = requireText(json, "msg");
        if (type.equals("ping")) {
            transport.write(PONG);
            return;
        }
        switch (role) {
            case UNJOINED -> {
                switch (type) {
                    case "joined" -> handleJoin(json);
                    case "collector" -> {
                        requireZone(json);
                        role = Role.COLLECTOR;
                        listener.onJoined(this, false);
                    }
                    default -> throw new MalformedInputException("it did not join first");
                }
            }
            case PROXY -> {
                switch (type) {
                    case "applied" -> handleApplied(json);
                    case "usage" -> handleUsage(json);
                    default -> throw new MalformedInputException("a stream brings no such message");
                }
            }
            default -> {
                switch (type) {
                    case "heard" -> handleHeard(json);
                    case "usage" -> handleUsage(json);
                    default ->
                            throw new MalformedInputException("a collector brings no such message");
                }
            }
        }
    }

    private void handleJoin(JsonObject json) {
        int joiningProxyId = requireInteger(json, "sidecar", proxyCount - 1);
        int zoneIndex = requireZone(json);
        double expectedRate = requireNumber(json, "share");
        JsonValue withoutTables = json.get("standing");
        if (withoutTables == null || !withoutTables.isBoolean()) {
            throw new MalformedInputException("standing is neither true nor false");
        }
        proxyId = joiningProxyId;
        role = Role.PROXY;
        listener.onJoined(this, true);
        host.proxyJoined(joiningProxyId, zoneIndex, expectedRate, withoutTables.asBoolean(), this);
    }

    private void handleApplied(JsonObject json) {
        int version = requireInteger(json, "version", Integer.MAX_VALUE);
        requireNumber(json, "lag_ms");
        if (!pendingAcknowledgements.contains(version)) {
            throw new MalformedInputException("version was not asked for on this stream");
        }
        while (pendingAcknowledgements.poll() != version) {
            continue;
        }
        acknowledgementRequestedMillis = EventLoop.nowMillis();
        host.updateAcknowledged(proxyId, version);
    }

    private void handleUsage(JsonObject json) {
        int reportedProxyId = requireInteger(json, "sidecar", proxyCount - 1);
        int classIndex = host.requestClassIndex(requireText(json, "kind"));
        if (classIndex < 0 || role == Role.PROXY && reportedProxyId != proxyId) {
            throw new MalformedInputException("kind or sidecar names what does not exist");
        }
        int requestCount = requireInteger(json, "n", Integer.MAX_VALUE);
        requireInteger(json, "bad", Integer.MAX_VALUE); // of txns that came before, too
        host.demandReported(reportedProxyId, classIndex, requestCount, requireWindow(json));
    }

    private void handleHeard(JsonObject json) {
        requireZone(json);
        String uid = requireText(json, "host");
        if (!host.isKnownEndpoint(uid)) {
            throw new MalformedInputException("host names what does not exist");
        }
        int attempts = requireInteger(json, "n", Integer.MAX_VALUE);
        int failedAttempts = requireInteger(json, "bad", attempts);
        double responseMillis = requireNumber(json, "avg");
        requireWindow(json);
        host.endpointStatsReported(
                uid, attempts, failedAttempts, responseMillis, json.get("report"));
    }

    private int requireZone(JsonObject json) {
        int zoneIndex = host.zoneIndex(requireText(json, "az"));
        if (zoneIndex < 0) {
            throw new MalformedInputException("az names no zone");
        }
        return zoneIndex;
    }

    private static String requireText(JsonObject json, String field) {
        JsonValue value = json.get(field);
        if (value == null || !value.isString()) {
            throw new MalformedInputException(field + " is no text");
        }
        return value.asString();
    }

    private static double requireNumber(JsonObject json, String field) {
        JsonValue value = json.get(field);
        double number = value != null && value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(number >= 0) || number > MAX_NUMBER) {
            throw new MalformedInputException(
                    field + " is no number from 0 to " + (long) MAX_NUMBER);
        }
        return number;
    }

    private static double requireWindow(JsonObject json) {
        double windowMillis = requireNumber(json, "window");
        if (windowMillis <= 0) {
            throw new MalformedInputException("window is no span");
        }
        return windowMillis;
    }

    private static int requireInteger(JsonObject json, String field, int max) {
        double number = requireNumber(json, field);
        if (number != Math.rint(number) || number > max) {
            throw new MalformedInputException(field + " is out of range");
        }
        return (int) number;
    }

    /** It is told so and closed; nothing that it sent counts. */
    void reject(String reason) {
        transport.write(REFUSED);
        if (transport.isOpen()) {
            listener.reject(this, reason);
        }
    }

    private void rejectUnreadable(String reason) {
        if (role == Role.UNJOINED) {
            reject(reason);
        } else {
            transport.close(reason);
        }
    }

    @Override
    public void write(byte[] update, int acknowledgementId) {
        if (acknowledgementId >= 0) {
            acknowledgementRequestedMillis =
                    pendingAcknowledgements.isEmpty()
                            ? EventLoop.nowMillis()
                            : acknowledgementRequestedMillis;
            pendingAcknowledgements.add(acknowledgementId);
            if (pendingAcknowledgements.size() > MAX_PENDING_ACKNOWLEDGEMENTS) {
                pendingAcknowledgements.poll();
            }
        }
        transport.write(update);
    }

    /** Since when it has owed an answer and said nothing, ms on the loop's clock. */
    double unresponsiveSince() {
        return pendingAcknowledgements.isEmpty()
                ? Double.POSITIVE_INFINITY
                : Math.max(lastReceivedMillis, acknowledgementRequestedMillis);
    }

    /** Its proxy has begun a newer stream. */
    @Override
    public void superseded() {
        transport.close("a newer stream of the proxy");
    }

    @Override
    public void fail(String reason) {
        transport.close(reason);
    }

    /**
     * One that has asked for a sign of life and ended its side is still owed the answer; a proxy
     * has left by that.
     */
    @Override
    public boolean drainsAfterPeerClose(TcpConnection connection) {
        return role == Role.UNJOINED;
    }

    @Override
    public void onClosed(TcpConnection connection, String reason) {
        listener.reserveBytes(-lineBuffer.length);
        listener.onClosed(this);
        if (role == Role.PROXY) {
            host.proxyLeft(proxyId, this);
            listener.streamEnded(reason);
        }
    }
}
