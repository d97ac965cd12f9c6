package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import sprucelanding.control.discovery.EndpointList;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A service discovery server on sockets. The server sends the full endpoint list, and after it the
 * changes, as server-sent events to each client that requests /list. Faults delay the updates of
 * the list. All calls must be made on the server's event loop.
 */
public final class SimulatedDiscovery {
    private static final int MAX_BUFFERED_BYTES = 8 << 20;
    private static final int ACCEPT_BACKLOG = 64;
    private static final int NOT_FOUND = 404;

    /** The number of a governor whose address is not registered. */
    private static final int UNKNOWN_GOVERNOR = -1;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<String> zones;
    private final List<String> kinds;
    private final EventTrace trace;
    private final Map<Long, ListedEndpoint> endpointsById = new LinkedHashMap<>();

    /** The number of the governor on each open stream. */
    private final Map<TcpConnection, Integer> governorsByConnection = new LinkedHashMap<>();

    private final Map<InetAddress, Integer> governorsByAddress = new HashMap<>();
    private final double wallClockOffsetMillis = System.currentTimeMillis() - EventLoop.nowMillis();
    private long version = 1;
    private double updateDelayMillis;

    /** Creates a discovery server that has an empty list and does not listen yet. */
    public SimulatedDiscovery(
            EventLoop loop,
            InetSocketAddress address,
            List<String> zones,
            List<String> kinds,
            EventTrace trace) {
        this.loop = loop;
        this.address = address;
        this.zones = zones;
        this.kinds = kinds;
        this.trace = trace;
    }

    /** Registers the governor that connects from an address, for the trace. */
    public void registerGovernor(InetAddress from, int governor) {
        governorsByAddress.put(from, governor);
    }

    /** Starts to listen. */
    public void start() {
        loop.listen(
                address,
                ACCEPT_BACKLOG,
                channel -> {
                    int governor =
                            governorsByAddress.getOrDefault(
                                    channel.socket().getInetAddress(), UNKNOWN_GOVERNOR);
                    loop.register(
                            channel,
                            MAX_BUFFERED_BYTES,
                            new TcpConnection.Listener() {
                                private TcpConnection accepted;
                                private final HttpParser http =
                                        new HttpParser(
                                                message -> openStream(accepted, message, governor));

                                @Override
                                public void onReceived(TcpConnection connection, ByteBuffer input)
                                        throws IOException {
                                    accepted = connection;
                                    http.parse(input);
                                }

                                @Override
                                public void onClosed(TcpConnection connection, String reason) {
                                    governorsByConnection.remove(connection);
                                }
                            });
                });
    }

    private void openStream(TcpConnection connection, HttpParser.Message message, int governor) {
        if (!message.targetOrStatus().equals("/list")) {
            connection.write(HttpParser.response(NOT_FOUND));
            return;
        }
        connection.write(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-store\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        governorsByConnection.put(connection, governor);
        sendFullList(connection, governor);
    }

    private void sendFullList(TcpConnection connection, int governor) {
        List<ListedEndpoint> listed = List.copyOf(endpointsById.values());
        double now = EventLoop.nowMillis();
        trace.record(
                new TraceEvent.EndpointListReported(
                        now,
                        governor,
                        listed.stream().map(ListedEndpoint::id).collect(Collectors.toSet())));
        listed.forEach(entry -> recordSent(now, governor, entry));
        sendEvent(connection, EndpointList.formatUpdate(version, true, listed, zones, kinds));
    }

    private void recordSent(double now, int governor, ListedEndpoint entry) {
        trace.record(
                new TraceEvent.EndpointReported(
                        now,
                        governor,
                        entry.id(),
                        entry.state() == ListedEndpoint.State.READY,
                        entry.startEpochMillis() == 0
                                ? 0
                                : entry.startEpochMillis() - wallClockOffsetMillis));
    }

    private void sendEvent(TcpConnection connection, String data) {
        connection.write(
                ("id: " + version + "\nevent: list\ndata: " + data + "\n\n")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Delays the updates that are scheduled from now on by this time in ms. */
    public void setDelay(double millis) {
        updateDelayMillis = millis;
    }

    /** Schedules a change of the state of endpoints after this time in ms, plus the set delay. */
    public void scheduleUpdate(
            List<SimulatedEndpoint> endpoints, ListedEndpoint.State state, double afterMillis) {
        if (afterMillis + updateDelayMillis > 0) {
            loop.schedule(afterMillis + updateDelayMillis, () -> update(endpoints, state));
        } else {
            update(endpoints, state);
        }
    }

    private void update(List<SimulatedEndpoint> endpoints, ListedEndpoint.State state) {
        List<ListedEndpoint> changes = new ArrayList<>();
        for (SimulatedEndpoint endpoint : endpoints) {
            ListedEndpoint entry =
                    new ListedEndpoint(
                            endpoint.id,
                            endpoint.address().getHostString(),
                            endpoint.address().getPort(),
                            endpoint.zone,
                            endpoint.kind,
                            1,
                            endpoint.startedAt() == 0
                                    ? 0
                                    : endpoint.startedAt() + wallClockOffsetMillis,
                            state);
            ListedEndpoint previous =
                    state == ListedEndpoint.State.GONE
                            ? endpointsById.remove(endpoint.id)
                            : endpointsById.put(endpoint.id, entry);
            if (state != ListedEndpoint.State.GONE || previous != null) {
                changes.add(entry);
            }
        }
        if (changes.isEmpty()) {
            return;
        }
        version++;
        double now = EventLoop.nowMillis();
        governorsByConnection.forEach(
                (connection, governor) -> {
                    changes.forEach(entry -> recordSent(now, governor, entry));
                    sendEvent(
                            connection,
                            EndpointList.formatUpdate(version, false, changes, zones, kinds));
                });
    }

    /** Resets all streams, as a restart of the server does. */
    public void restart() {
        Set.copyOf(governorsByConnection.keySet()).forEach(TcpConnection::reset);
    }
}
