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
 * An endpoint on sockets: HTTP/1.1 in front of an {@link EndpointModel}, with its load in every
 * response (ORCA, text form). A request is a POST to the path of its request class with {@link
 * RequestHeaders}; the path /probe is a health check. All calls come on its loop's thread.
 */
public final class SimulatedEndpoint {
    /** A request or a health check that runs or waits. */
    private record Job(
            TcpConnection connection,
            int requestClass,
            long requestId,
            int proxy,
            int attempt,
            double arrivedAt) {}

    /** As request class of a job: a health check. */
    private static final int HEALTH_CHECK = -1;

    private static final String HEALTH_CHECK_PATH = "/probe";
    private static final int UNKNOWN = -1;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private static final int MAX_BUFFERED_BYTES = 65_536;

    /** Its id in discovery. */
    public final long id;

    /** The index of its zone. */
    public final int zone;

    /** The index of its kind. */
    public final int kind;

    /** What it can do. */
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
    private int ignoredZone = UNKNOWN;

    /** Set by a fault; 0: as many as its capacity says. */
    private int connectionLimit;

    private long servedRequests;

    /**
     * Creates an endpoint that has not been started.
     *
     * @param address where it listens
     * @param network decides which zones reach it
     */
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
        this.model = new EndpointModel<>(capacity, new CompletionListener());
        this.requestClasses = requestClasses;
        this.network = network;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
    }

    /** Records the jobs that start, and responds to those that end. */
    private final class CompletionListener implements EndpointModel.JobListener<Job> {
        @Override
        public void onStarted(Job job, double now) {
            if (job.requestClass != HEALTH_CHECK) {
                trace.record(
                        new TraceEvent.Executed(
                                now, id, job.requestClass, job.requestId, job.proxy, job.attempt));
            }
        }

        @Override
        public void onCompleted(Job job, double now) {
            if (job.requestClass != HEALTH_CHECK) {
                servedRequests++;
                model.recordServiceTime(now - job.arrivedAt);
            }
            respond(job.connection, OK);
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether its process runs. */
    public boolean isUp() {
        return server != null;
    }

    /** When its process started, on the loop's clock; 0 for long ago. */
    public double startedAt() {
        return startedAt;
    }

    /** Requests that it has executed. */
    public long servedRequests() {
        return servedRequests;
    }

    /**
     * Starts its process, unless it runs.
     *
     * @param coldStart whether it has to warm up
     */
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
        ignoredZone = UNKNOWN;
    }

    /** While it hangs, it takes requests and answers none. */
    public void setHung(boolean enabled) {
        advance();
        model.setHung(enabled);
        scheduleAdvance();
    }

    /** Its cores run slower by this factor. */
    public void setSlowdown(double factor) {
        advance();
        model.setSlowdown(factor);
        scheduleAdvance();
    }

    /** It fails this share of its requests at once. */
    public void setFailureShare(double share) {
        failureShare = share;
    }

    /** Another program takes this share of the model. */
    public void setStolenShare(double share) {
        advance();
        model.setStolenShare(share);
        scheduleAdvance();
    }

    /** While it is paused, no request makes progress. */
    public void setPaused(boolean enabled) {
        advance();
        model.setPaused(enabled);
        scheduleAdvance();
    }

    /** It receives nothing from this zone; below 0: it receives from all. */
    public void ignoreZone(int zone) {
        ignoredZone = zone;
    }

    /** The most connections that it accepts; 0: as many as its capacity says. */
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
                                if (isReachableFrom(from)) {
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

    /** Across a cut nothing arrives, and nobody is told so. */
    private boolean isReachableFrom(InetAddress from) {
        return network.isOpen(from, zone)
                && (ignoredZone < 0 || network.zoneOf(from) != ignoredZone);
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
        if (message.targetOrStatus().equals(HEALTH_CHECK_PATH)) {
            handleHealthCheck(connection);
            return;
        }
        int requestClass = requestClasses.indexOf(message.targetOrStatus().substring(1));
        long requestId = (long) message.numberHeader(RequestHeaders.REQUEST_ID, UNKNOWN);
        double work = message.numberHeader(RequestHeaders.WORK, UNKNOWN);
        int proxy = (int) message.numberHeader(RequestHeaders.PROXY, UNKNOWN);
        int attempt = (int) message.numberHeader(RequestHeaders.ATTEMPT, 0);
        if (requestClass < 0 || requestId < 0 || !(work >= 0)) {
            connection.write(HttpParser.response(BAD_REQUEST));
            return;
        }
        double now = EventLoop.nowMillis();
        trace.record(
                new TraceEvent.AttemptSent(now, proxy, id, requestClass, requestId, attempt, work));
        if (model.isHung()) {
            return;
        }
        if (random.nextDouble() < failureShare) {
            respond(connection, INTERNAL_ERROR);
            return;
        }
        if (model.isFull()) {
            rejectUnexecuted(connection);
            return;
        }
        model.submit(new Job(connection, requestClass, requestId, proxy, attempt, now), work, now);
        scheduleAdvance();
    }

    private void handleHealthCheck(TcpConnection connection) {
        if (model.isResponsive()) {
            double now = EventLoop.nowMillis();
            model.submitHealthCheck(new Job(connection, HEALTH_CHECK, 0, UNKNOWN, 0, now), now);
            scheduleAdvance();
        }
    }

    private void respond(TcpConnection connection, int status) {
        connection.write(HttpParser.response(status, RequestHeaders.LOAD_REPORT, loadReport()));
    }

    /** Rejects a request with proof that it was not executed. */
    private void rejectUnexecuted(TcpConnection connection) {
        connection.write(
                HttpParser.response(
                        UNAVAILABLE,
                        RequestHeaders.NOT_EXECUTED,
                        "1",
                        RequestHeaders.LOAD_REPORT,
                        loadReport()));
    }

    private void advance() {
        model.advance(EventLoop.nowMillis());
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
