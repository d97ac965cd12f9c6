package sprucelanding.simulation.loopback;

import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.model.LocalOutliers;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.RequestAdmission;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A plain proxy: it takes its client's txns over HTTP and sends each where its tables say, and only
 * does as they say. It keeps away for a while from a replica at which its own tries failed several
 * times in a row. All calls on its loop.
 */
public final class SimulatedProxy {
    /** How it picks and shuns, and how long it waits. */
    public record ProxyOptions(
            String pick,
            int ejectionThreshold,
            double ejectionMillis,
            double connectTimeoutMillis,
            double minReconnectMillis,
            double maxReconnectMillis,
            boolean incremental) {}

    /** A governor's address, as this proxy dials it. */
    public record GovernorAddress(int governor, int port) {}

    /** One connection to a replica, with the try that is under way on it. */
    private final class UpstreamConnection implements TcpConnection.Listener {
        final InetSocketAddress endpoint;
        TcpConnection connection;
        Attempt attempt;
        boolean connected;
        final HttpParser parser = new HttpParser(this::onResponse);

        UpstreamConnection(InetSocketAddress endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public void onConnected(TcpConnection connection) {
            connected = true;
            if (attempt != null) {
                connection.write(attempt.encodeRequest());
            }
        }

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
            parser.parse(input);
        }

        private void onResponse(HttpParser.Message message) {
            Attempt finishedAttempt = attempt;
            attempt = null;
            if (finishedAttempt != null) {
                idleConnections.computeIfAbsent(endpoint, ignored -> new ArrayDeque<>()).push(this);
                finishedAttempt.complete(
                        message.status(),
                        message.headers().containsKey("x-unrun"),
                        parseUtilization(message.header("endpoint-load-metrics")));
            }
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            ArrayDeque<UpstreamConnection> idleOfEndpoint = idleConnections.get(endpoint);
            if (idleOfEndpoint != null) {
                idleOfEndpoint.remove(this);
            }
            Attempt finishedAttempt = attempt;
            attempt = null;
            if (finishedAttempt != null) {
                finishedAttempt.complete(0, !connected, Double.NaN);
            }
        }
    }

    /** One txn from the client, through its tries. */
    private final class Request {
        final TcpConnection client;
        final int requestClass;
        final long id;
        final String work;
        final double deadline;
        int attempts;
        InetSocketAddress previousEndpoint;

        Request(TcpConnection client, int requestClass, long id, String work, double deadline) {
            this.client = client;
            this.requestClass = requestClass;
            this.id = id;
            this.work = work;
            this.deadline = deadline;
        }

        void startAttempt() {
            WeightedEndpoint<InetSocketAddress> chosen =
                    tables.pick(
                            requestClasses.get(requestClass),
                            pick,
                            entry ->
                                    entry.endpoint.equals(previousEndpoint)
                                            || localOutliers.isAvoided(
                                                    entry.endpoint, EventLoop.nowMillis()),
                            entry -> openAttempts.getOrDefault(entry.endpoint, 0),
                            random);
            if (chosen == null || chosen.endpoint.equals(previousEndpoint)) {
                respond(503, true);
                return;
            }
            attempts++;
            new Attempt(this, chosen.endpoint).start();
        }

        void respond(int status, boolean notExecuted) {
            client.write(
                    notExecuted
                            ? HttpParser.response(
                                    status, "x-unrun", "1", "x-txn", Long.toString(id))
                            : HttpParser.response(status, "x-txn", Long.toString(id)));
        }
    }

    private final class Attempt {
        final Request request;
        final InetSocketAddress endpoint;
        final double startedAt = EventLoop.nowMillis();
        UpstreamConnection connection;
        EventLoop.Timer timeout;
        boolean ended;

        Attempt(Request request, InetSocketAddress endpoint) {
            this.request = request;
            this.endpoint = endpoint;
        }

        byte[] encodeRequest() {
            return HttpParser.request(
                    "POST",
                    "/" + requestClasses.get(request.requestClass),
                    "x-txn",
                    Long.toString(request.id),
                    "x-work",
                    request.work,
                    "x-proxy",
                    Integer.toString(number),
                    "x-attempt",
                    Integer.toString(request.attempts));
        }

        void start() {
            openAttempts.merge(endpoint, 1, Integer::sum);
            loadReports.attemptStarted(endpoint);
            ArrayDeque<UpstreamConnection> idleOfEndpoint = idleConnections.get(endpoint);
            connection = idleOfEndpoint == null ? null : idleOfEndpoint.poll();
            double remainingMillis = Math.max(1, request.deadline - startedAt);
            timeout =
                    loop.schedule(
                            remainingMillis,
                            () -> {
                                if (!ended) {
                                    UpstreamConnection current = connection;
                                    current.attempt = null;
                                    complete(0, false, Double.NaN);
                                    current.connection
                                            .close(); // running work goes on at the replica
                                }
                            });
            if (connection == null) {
                connection = new UpstreamConnection(endpoint);
                connection.attempt = this;
                UpstreamConnection opened = connection;
                opened.connection = loop.connect(endpoint, sourceAddress, 65_536, opened);
                loop.schedule(
                        Math.min(options.connectTimeoutMillis, remainingMillis),
                        () -> {
                            if (!opened.connected && opened.connection.isOpen()) {
                                opened.connection.close();
                            }
                        });
            } else {
                connection.attempt = this;
                connection.connection.write(encodeRequest());
            }
        }

        /** Status 0: no answer. */
        void complete(int status, boolean notExecuted, double utilization) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel();
            openAttempts.merge(endpoint, -1, Integer::sum);
            double now = EventLoop.nowMillis();
            loadReports.attemptEnded(endpoint, status == 200, now - startedAt, utilization);
            localOutliers.attemptEnded(endpoint, status == 200, now);
            if (status == 200) {
                request.respond(200, false);
                return;
            }
            if (Route.shouldRetry(
                    tables.routes.get(requestClasses.get(request.requestClass)),
                    request.attempts,
                    notExecuted,
                    request.deadline - now)) {
                request.previousEndpoint = endpoint;
                request.startAttempt();
            } else {
                request.respond(status == 0 ? 504 : status, notExecuted);
            }
        }
    }

    public final int number;
    public final int zone;
    public final boolean incremental;
    private final String name;
    private final String zoneName;
    private final double expectedRate;
    private final EventLoop loop;
    private final NioEventLoopGroup transport;
    private final List<String> requestClasses;
    private final List<GovernorAddress> governors;
    private final ProxyOptions options;
    private final ProxyTables.Pick pick;
    private final InetSocketAddress sourceAddress;
    private final EventTrace trace;
    private final SplittableRandom random;
    private final LoadReportClient loadReports;
    private ProxyTables<InetSocketAddress> tables = new ProxyTables<>();
    private final Map<InetSocketAddress, ArrayDeque<UpstreamConnection>> idleConnections =
            new HashMap<>();
    private final Map<InetSocketAddress, Integer> openAttempts = new HashMap<>();
    private final LocalOutliers<InetSocketAddress> localOutliers;
    private final Map<String, Integer> reportedPickable = new HashMap<>();
    private final RequestAdmission admission = new RequestAdmission();
    private final Set<TcpConnection> clients = new HashSet<>();
    private ServerSocketChannel server;
    private int port;
    private int governorIndex;
    private int connectionAttempt;
    private ControlChannel controlChannel;
    private SimulatedDevice device;
    private boolean joined;
    private boolean stopped = true;
    private boolean isolated;
    private double responseDelayMillis;
    private boolean readsPaused;
    private int messagesToReject;
    private long messages;
    private long acknowledgements;

    public SimulatedProxy(
            EventLoop loop,
            NioEventLoopGroup transport,
            int number,
            int zone,
            String zoneName,
            double expectedRate,
            List<String> requestClasses,
            List<GovernorAddress> governors,
            ProxyOptions options,
            InetSocketAddress from,
            EventTrace trace,
            long seed) {
        this.loop = loop;
        this.transport = transport;
        this.number = number;
        this.zone = zone;
        this.zoneName = zoneName;
        this.name = "proxy-" + number;
        this.expectedRate = expectedRate;
        this.requestClasses = requestClasses;
        this.governors = governors;
        this.options = options;
        this.pick = ProxyTables.Pick.valueOf(options.pick.toUpperCase(Locale.ROOT));
        this.incremental = options.incremental;
        this.sourceAddress = from;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
        this.localOutliers = new LocalOutliers<>(options.ejectionThreshold, options.ejectionMillis);
        this.loadReports =
                new LoadReportClient(
                        loop, XdsClient.node(name, zoneName, expectedRate), requestClasses);
    }

    /** From its next dialling on it is a device that takes NETCONF edits. */
    public void attachDevice(SimulatedDevice device) {
        this.device = device;
    }

    /** Starts with standing lines to these, and dials its first governor. */
    public void start(List<InetSocketAddress> staticEndpoints) {
        stopped = false;
        tables = new ProxyTables<>();
        if (device != null) {
            device.reboot();
        }
        staticEndpoints.forEach(
                endpoint ->
                        tables.staticEntries.add(new WeightedEndpoint<>("", endpoint, 1, true)));
        server =
                loop.listen(
                        new InetSocketAddress("127.0.0.1", port),
                        64,
                        channel -> {
                            TcpConnection connection =
                                    loop.register(
                                            channel,
                                            65_536,
                                            new TcpConnection.Listener() {
                                                private TcpConnection own;
                                                private final HttpParser http =
                                                        new HttpParser(
                                                                message ->
                                                                        handleRequest(
                                                                                own, message));

                                                @Override
                                                public void onReceived(
                                                        TcpConnection ignored, ByteBuffer input)
                                                        throws IOException {
                                                    own = ignored;
                                                    http.parse(input);
                                                }

                                                @Override
                                                public void onClosed(
                                                        TcpConnection ignored, String reason) {
                                                    clients.remove(ignored);
                                                }
                                            });
                            clients.add(connection);
                        });
        port = loop.localPort(server);
        reportedPickable.clear();
        tablesChanged();
        connect();
    }

    public int port() {
        return port;
    }

    public double expectedRate() {
        return expectedRate;
    }

    public long messages() {
        return messages;
    }

    public long acknowledgements() {
        return acknowledgements;
    }

    public boolean joined() {
        return joined;
    }

    /** Its process dies. */
    public void crash() {
        stopped = true;
        try {
            server.close();
        } catch (IOException e) {
            // it is down either way
        }
        disconnect();
        Set.copyOf(clients).forEach(TcpConnection::reset);
        List.copyOf(idleConnections.values())
                .forEach(
                        connections ->
                                List.copyOf(connections)
                                        .forEach(connection -> connection.connection.close()));
        idleConnections.clear();
    }

    /** It reaches no governor, and goes on forwarding. */
    public void setIsolated(boolean enabled) {
        isolated = enabled;
        if (enabled) {
            disconnect();
            scheduleReconnect();
        }
    }

    public void setResponseDelay(double millis) {
        responseDelayMillis = millis;
        if (controlChannel != null) {
            controlChannel.setResponseDelay(millis);
        }
    }

    public void rejectNext(int messages) {
        messagesToReject = messages;
        if (controlChannel != null) {
            controlChannel.rejectNext(messages);
        }
    }

    public void setReadsPaused(boolean enabled) {
        trace.record(new TraceEvent.ReadingChanged(EventLoop.nowMillis(), number, !enabled));
        readsPaused = enabled;
        if (controlChannel != null) {
            controlChannel.setReadsPaused(enabled);
        }
    }

    /** Its stream breaks; it dials another governor. */
    public void reconnect() {
        disconnect();
        governorIndex++;
        scheduleReconnect();
    }

    private void disconnect() {
        if (joined) {
            joined = false;
            trace.record(new TraceEvent.ProxyLeft(EventLoop.nowMillis(), number));
        }
        connectionAttempt++;
        if (controlChannel != null) {
            controlChannel.close();
            controlChannel = null;
        }
    }

    private void scheduleReconnect() {
        int attempt = connectionAttempt;
        loop.schedule(
                options.minReconnectMillis
                        + random.nextDouble()
                                * (options.maxReconnectMillis - options.minReconnectMillis),
                () -> {
                    if (attempt == connectionAttempt && !stopped) {
                        connect();
                    }
                });
    }

    private void connect() {
        if (governors.isEmpty()) {
            return; // no governors on this day
        }
        if (isolated) {
            scheduleReconnect();
            return;
        }
        GovernorAddress target = governors.get(governorIndex % governors.size());
        int attempt = connectionAttempt;
        ControlChannel.ControlChannelListener listener =
                new ControlChannel.ControlChannelListener() {
                    private void message(
                            String type, long nonce, int lines, String controlPlaneId) {
                        double now = EventLoop.nowMillis();
                        if (!joined) {
                            joined = true;
                            trace.record(new TraceEvent.ProxyJoined(now, number, target.governor));
                        }
                        messages++;
                        trace.record(
                                new TraceEvent.MessageSent(
                                        now,
                                        number,
                                        target.governor,
                                        device == null ? "xds" : "netconf",
                                        type.substring(type.lastIndexOf('.') + 1),
                                        nonce,
                                        lines,
                                        controlPlaneId));
                    }

                    @Override
                    public void onApplied(
                            String type, long nonce, int lines, String controlPlaneId) {
                        message(type, nonce, lines, controlPlaneId);
                        tablesChanged();
                    }

                    @Override
                    public void onRejected(String type, long nonce, String controlPlaneId) {
                        messagesToReject = Math.max(0, messagesToReject - 1);
                        message(type, nonce, 0, controlPlaneId);
                    }

                    @Override
                    public void onAcknowledged(long nonce, boolean rejected) {
                        acknowledgements++;
                        trace.record(
                                new TraceEvent.MessageAnswered(
                                        EventLoop.nowMillis(), number, nonce, rejected));
                    }

                    @Override
                    public void onBroken(String reason) {
                        if (attempt == connectionAttempt) {
                            disconnect();
                            governorIndex++;
                            scheduleReconnect();
                        }
                    }
                };
        controlChannel =
                device != null
                        ? device.openChannel(loop, target.port, tables, loadReports, listener)
                        : new XdsClient(
                                loop,
                                transport,
                                target.port,
                                XdsClient.node(name, zoneName, expectedRate),
                                incremental,
                                tables,
                                loadReports,
                                listener);
        controlChannel.setResponseDelay(responseDelayMillis);
        controlChannel.rejectNext(messagesToReject);
        controlChannel.open();
        controlChannel.setReadsPaused(readsPaused);
    }

    private void tablesChanged() {
        for (int requestClass = 0; requestClass < requestClasses.size(); requestClass++) {
            int pickable = tables.pickableCount(requestClasses.get(requestClass));
            Integer previous = reportedPickable.put(requestClasses.get(requestClass), pickable);
            if (previous == null || previous == 0 != (pickable == 0)) {
                trace.record(
                        new TraceEvent.TableChanged(
                                EventLoop.nowMillis(), number, requestClass, pickable));
            }
        }
        Set<InetSocketAddress> listed = new HashSet<>();
        tables.clusters
                .values()
                .forEach(entries -> entries.values().forEach(entry -> listed.add(entry.endpoint)));
        if (!tables.routes.isEmpty()) { // connections to what left its tables are closed
            List.copyOf(idleConnections.keySet()).stream()
                    .filter(endpoint -> !listed.contains(endpoint))
                    .forEach(
                            endpoint ->
                                    idleConnections
                                            .remove(endpoint)
                                            .forEach(connection -> connection.connection.close()));
        }
    }

    private void handleRequest(TcpConnection client, HttpParser.Message message) {
        int requestClass = requestClasses.indexOf(message.targetOrStatus().substring(1));
        long id = (long) message.numberHeader("x-txn", -1);
        if (requestClass < 0 || id < 0) {
            client.write(HttpParser.response(400));
            return;
        }
        loadReports.recordArrival(requestClass);
        Request request =
                new Request(
                        client,
                        requestClass,
                        id,
                        message.header("x-work"),
                        EventLoop.nowMillis() + message.numberHeader("x-left", 1000));
        if (!admission.admits(
                requestClasses.get(requestClass),
                tables.routes.get(requestClasses.get(requestClass)),
                EventLoop.nowMillis(),
                random)) {
            request.respond(503, true);
            return;
        }
        request.startAttempt();
    }

    private static double parseUtilization(String report) {
        int start = report.indexOf("cpu_utilization=");
        int end = report.indexOf(',', start);
        return start < 0 || end < 0
                ? Double.NaN
                : Double.parseDouble(report.substring(start + 16, end));
    }
}
