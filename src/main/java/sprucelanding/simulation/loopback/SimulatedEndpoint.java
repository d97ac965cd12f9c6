package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.model.EndpointModel;
import sprucelanding.simulation.rules.EventTrace;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A replica: HTTP/1.1, cores shared by the txns that run, a waiting room, a cold start, its load in
 * every answer (ORCA, text form). A request is POST /PRODUCT with x-txn, x-work (ms), x-proxy and
 * x-attempt. All calls come on its loop's thread.
 */
public final class SimulatedEndpoint {
    private static final class Job {
        final TcpConnection connection;
        final int requestClass;
        final long requestId;
        final int proxy;
        final int attempt;
        final double arrivedAt;

        Job(
                TcpConnection connection,
                int requestClass,
                long requestId,
                int proxy,
                int attempt,
                double arrivedAt) {
            this.connection = connection;
            this.requestClass = requestClass;
            this.requestId = requestId;
            this.proxy = proxy;
            this.attempt = attempt;
            this.arrivedAt = arrivedAt;
        }
    }

    private static final int MAX_BUFFERED_BYTES = 65_536;

    public final long id;
    public final int zone;
    public final int kind;
    public final EndpointModel.Capacity capacity;
    private final EndpointModel<Job> model;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<String> requestClasses;
    private final NetworkPartition network;
    private final EventTrace trace;
    private final SplittableRandom random;
    private ServerSocketChannel server;
    private final Set<TcpConnection> connections = new HashSet<>();
    private double startedAt;
    private EventLoop.Timer nextAdvance;
    private double failureShare;
    private int ignoredZone = -1;
    private int connectionLimit;
    private long servedRequests;

    public SimulatedEndpoint(
            EventLoop loop,
            long id,
            int zone,
            int kind,
            InetSocketAddress address,
            EndpointModel.Capacity capacity,
            List<String> requestClasses,
            NetworkPartition network,
            EventTrace trace,
            long seed) {
        this.loop = loop;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.address = address;
        this.capacity = capacity;
        this.model =
                new EndpointModel<>(
                        capacity,
                        new EndpointModel.JobListener<>() {
                            @Override
                            public void onStarted(Job job, double now) {
                                if (job.requestClass >= 0) {
                                    trace.record(
                                            new TraceEvent.Executed(
                                                    now,
                                                    SimulatedEndpoint.this.id,
                                                    job.requestClass,
                                                    job.requestId,
                                                    job.proxy,
                                                    job.attempt));
                                }
                            }

                            @Override
                            public void onCompleted(Job job, double now) {
                                respond(job, now);
                            }
                        });
        this.requestClasses = requestClasses;
        this.network = network;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
    }

    public InetSocketAddress address() {
        return address;
    }

    public boolean isUp() {
        return server != null;
    }

    /** When its process began, on the loop's clock; 0: long before the day. */
    public double startedAt() {
        return startedAt;
    }

    public long servedRequests() {
        return servedRequests;
    }

    public void start(boolean coldStart) {
        if (server != null) {
            return;
        }
        startedAt = coldStart ? EventLoop.nowMillis() : 0;
        model.start(startedAt, EventLoop.nowMillis());
        if (coldStart) {
            trace.record(
                    new TraceEvent.EndpointStarted(
                            startedAt, id, capacity.cores() * capacity.speed()));
        }
        server = loop.listen(address, capacity.maxConnections(), this::onAccepted);
    }

    /** Its process dies: connections break, what ran or waited is lost. */
    public void crash() {
        if (server == null) {
            return;
        }
        try {
            server.close();
        } catch (IOException e) {
            // it is down either way
        }
        server = null;
        trace.record(new TraceEvent.EndpointStopped(EventLoop.nowMillis(), id));
        List.copyOf(connections).forEach(TcpConnection::reset);
        connections.clear();
        model.start(0, EventLoop.nowMillis());
        failureShare = 0;
        ignoredZone = -1;
    }

    /** It takes txns and answers none. */
    public void setHung(boolean enabled) {
        advance();
        model.setHung(enabled);
        scheduleAdvance();
    }

    /** Its cores run so many times slower. */
    public void setSlowdown(double factor) {
        advance();
        model.setSlowdown(factor);
        scheduleAdvance();
    }

    /** It fails this share of its txns at once. */
    public void setFailureShare(double share) {
        failureShare = share;
    }

    /** Another program takes this share of the model. */
    public void setStolenShare(double share) {
        advance();
        model.setStolenShare(share);
        scheduleAdvance();
    }

    public void setPaused(boolean enabled) {
        advance();
        model.setPaused(enabled);
        scheduleAdvance();
    }

    /**
     * It hears nothing from this zone, though no other party of the zone is cut off; -1: it hears
     * all.
     */
    public void ignoreZone(int zone) {
        ignoredZone = zone;
    }

    /** It accepts so many connections at most; 0: as many as its machine says. */
    public void setConnectionLimit(int limit) {
        connectionLimit = limit;
    }

    private void onAccepted(SocketChannel channel) {
        InetAddress from = channel.socket().getInetAddress();
        TcpConnection connection =
                loop.register(
                        channel,
                        MAX_BUFFERED_BYTES,
                        new TcpConnection.Listener() {
                            private TcpConnection own;
                            private final HttpParser http =
                                    new HttpParser(message -> handleRequest(own, message));

                            @Override
                            public void onReceived(TcpConnection connection, ByteBuffer input)
                                    throws IOException {
                                own = connection;
                                if (network.isOpen(from, zone)
                                        && (ignoredZone < 0
                                                || network.zoneOf(from)
                                                        != ignoredZone)) { // across a cut nothing
                                    // arrives, and nobody says so
                                    http.parse(input);
                                }
                            }

                            @Override
                            public void onClosed(TcpConnection connection, String reason) {
                                connections.remove(connection);
                            }
                        });
        connections.add(connection);
        if (connections.size()
                > (connectionLimit > 0 ? connectionLimit : capacity.maxConnections())) {
            connection.reset();
        }
    }

    private String loadReport() {
        return String.format(
                Locale.ROOT,
                "TEXT cpu_utilization=%.3f, named_metrics.inflight=%d, "
                        + "named_metrics.latency_ms=%.1f",
                model.utilization(),
                model.inFlight(),
                model.meanServiceMillis());
    }

    private void handleRequest(TcpConnection connection, HttpParser.Message message) {
        advance();
        if (message.targetOrStatus().equals("/probe")) {
            if (model.isResponsive()) {
                model.submitHealthCheck(
                        new Job(connection, -1, 0, -1, 0, EventLoop.nowMillis()),
                        EventLoop.nowMillis());
                scheduleAdvance();
            }
            return;
        }
        int requestClass = requestClasses.indexOf(message.targetOrStatus().substring(1));
        long requestId = (long) message.numberHeader("x-txn", -1);
        double work = message.numberHeader("x-work", -1);
        int proxy = (int) message.numberHeader("x-proxy", -1);
        int attempt = (int) message.numberHeader("x-attempt", 0);
        if (requestClass < 0 || requestId < 0 || !(work >= 0)) {
            connection.write(HttpParser.response(400));
            return;
        }
        double now = EventLoop.nowMillis();
        trace.record(
                new TraceEvent.AttemptSent(now, proxy, id, requestClass, requestId, attempt, work));
        if (model.isHung()) {
            return;
        }
        if (random.nextDouble() < failureShare) {
            connection.write(HttpParser.response(500, "endpoint-load-metrics", loadReport()));
            return;
        }
        if (model.isFull()) { // proof that it never ran
            connection.write(
                    HttpParser.response(
                            503, "x-unrun", "1", "endpoint-load-metrics", loadReport()));
            return;
        }
        model.submit(new Job(connection, requestClass, requestId, proxy, attempt, now), work, now);
        scheduleAdvance();
    }

    private void advance() {
        model.advance(EventLoop.nowMillis());
    }

    private void respond(Job job, double now) {
        if (job.requestClass >= 0) {
            servedRequests++;
            model.recordServiceTime(now - job.arrivedAt);
        }
        job.connection.write(HttpParser.response(200, "endpoint-load-metrics", loadReport()));
    }

    private void scheduleAdvance() {
        if (nextAdvance != null) {
            nextAdvance.cancel();
            nextAdvance = null;
        }
        double advanceAt = model.nextEventAt(EventLoop.nowMillis());
        if (advanceAt < Double.POSITIVE_INFINITY) {
            nextAdvance =
                    loop.scheduleAt(
                            advanceAt,
                            () -> {
                                advance();
                                scheduleAdvance();
                            });
        }
    }
}
