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
 * The roster: tells whole lists, then changes, as server-sent events to whoever asks; late, and at
 * times wrong.
 */
public final class SimulatedDiscovery {
    private static final int MAX_BUFFERED_BYTES = 8 << 20;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<String> zones;
    private final List<String> kinds;
    private final EventTrace trace;
    private final Map<Long, ListedEndpoint> entries = new LinkedHashMap<>();

    /** Streams by governor; -1 for others. */
    private final Map<TcpConnection, Integer> governorsByConnection = new LinkedHashMap<>();

    private final Map<InetAddress, Integer> governorsByAddress = new HashMap<>();
    private final double wallClockOffsetMillis = System.currentTimeMillis() - EventLoop.nowMillis();
    private long version = 1;
    private double delayMillis;

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

    /** Who dials from an address. */
    public void registerGovernor(InetAddress from, int governor) {
        governorsByAddress.put(from, governor);
    }

    public void start() {
        loop.listen(
                address,
                64,
                channel -> {
                    int governor =
                            governorsByAddress.getOrDefault(channel.socket().getInetAddress(), -1);
                    loop.register(
                            channel,
                            MAX_BUFFERED_BYTES,
                            new TcpConnection.Listener() {
                                private TcpConnection own;
                                private final HttpParser http =
                                        new HttpParser(
                                                message -> openStream(own, message, governor));

                                @Override
                                public void onReceived(TcpConnection connection, ByteBuffer input)
                                        throws IOException {
                                    own = connection;
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
            connection.write(HttpParser.response(404));
            return;
        }
        connection.write(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-store\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        governorsByConnection.put(connection, governor);
        sendFullList(connection, governor);
    }

    private void sendFullList(TcpConnection connection, int governor) {
        List<ListedEndpoint> listed = List.copyOf(entries.values());
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
                        entry.startedAt() == 0 ? 0 : entry.startedAt() - wallClockOffsetMillis));
    }

    private void sendEvent(TcpConnection connection, String data) {
        connection.write(
                ("id: " + version + "\nevent: list\ndata: " + data + "\n\n")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** From now on it tells what it learns so much later, in ms. */
    public void setDelay(double millis) {
        delayMillis = millis;
    }

    /** It learns how replicas stand; the list follows so many ms later. */
    public void scheduleUpdate(
            List<SimulatedEndpoint> endpoints, ListedEndpoint.State stage, double afterMillis) {
        if (afterMillis + delayMillis > 0) {
            loop.schedule(afterMillis + delayMillis, () -> update(endpoints, stage));
        } else {
            update(endpoints, stage);
        }
    }

    private void update(List<SimulatedEndpoint> endpoints, ListedEndpoint.State stage) {
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
                            stage);
            ListedEndpoint previous =
                    stage == ListedEndpoint.State.GONE
                            ? entries.remove(endpoint.id)
                            : entries.put(endpoint.id, entry);
            if (stage != ListedEndpoint.State.GONE || previous != null) {
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

    /** Drops all streams, as a restart does. */
    public void restart() {
        Set.copyOf(governorsByConnection.keySet()).forEach(TcpConnection::reset);
    }
}
