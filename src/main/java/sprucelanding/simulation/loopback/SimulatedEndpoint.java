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
 * An endpoint on sockets: an HTTP/1.1 server in front of an {@link EndpointModel}. Responses carry
 * a load report (ORCA, text form). A request is a POST to the path of its request class with {@link
 * RequestHeaders}; a request to the path /probe is a health check. All calls must be made on the
 * endpoint's event loop.
 */
public final class SimulatedEndpoint {
    /** A request or a health check that is running or waiting. */
    private record Job(
            TcpConnection connection,
            int requestClass,
            long requestId,
            int proxy,
            int attempt,
            double arrivedAt) {}

    /** The request class of a job that is a health check. */
    private static final int HEALTH_CHECK = -1;

    private static final String HEALTH_CHECK_PATH = "/probe";

    /** A number that is missing: of a header, a proxy, a request or an ignored zone. */
    private static final int UNKNOWN = -1;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private static final int MAX_BUFFERED_BYTES = 65_536;

    /** The id of the endpoint in service discovery. */
    public final long id;

    /** The index of the endpoint's zone. */
    public final int zone;

    /** The index of the endpoint's machine kind. */
    public final int kind;

    /** The capacity of the endpoint. */
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

    /** The connection limit that a fault has set; 0 for the limit of the capacity. */
    private int connectionLimit;

    private long servedRequests;

    /**
     * Creates an endpoint that has not been started.
     *
     * @param address the address to listen on
     * @param network decides which zones reach the endpoint
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

    /** A listener that records the jobs that start, and responds to the jobs that are completed. */
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

    /** Returns the address that the endpoint listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns whether the endpoint's process runs. */
    public boolean isUp() {
        return server != null;
    }

    /**
     * Returns the start time of the process in ms, on the event loop's clock. 0 means that the
     * process started long ago.
     */
    public double startedAt() {
        return startedAt;
    }

    /** Returns the number of requests that the endpoint has executed. */
    public long servedRequests() {
        return servedRequests;
    }

    /**
     * Starts the endpoint's process, unless the process runs already.
     *
     * @param coldStart whether the process has to warm up
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

    /** Ends the process: its connections are reset, and all running and waiting jobs are lost. */
    public void crash() {
        if (server == null) {
            return;
        }
        try {
            server.close();
        } catch (IOException e) {
            // the endpoint accepts no connections either way
        }
        server = null;
        trace.record(new TraceEvent.EndpointStopped(EventLoop.nowMillis(), id));
        List.copyOf(connections).forEach(TcpConnection::reset);
        connections.clear();
        model.start(0, EventLoop.nowMillis());
        failureShare = 0;
        ignoredZone = UNKNOWN;
    }

    /** Starts or ends a hang. A hung endpoint accepts requests and answers none. */
    public void setHung(boolean enabled) {
        advance();
        model.setHung(enabled);
        scheduleAdvance();
    }

    /** Slows the endpoint's cores down by this factor. */
    public void setSlowdown(double factor) {
        advance();
        model.setSlowdown(factor);
        scheduleAdvance();
    }

    /** Sets the share of requests that fail immediately, from 0 to 1. */
    public void setFailureShare(double share) {
        failureShare = share;
    }

    /** Sets the share of the cores that another program uses. */
    public void setStolenShare(double share) {
        advance();
        model.setStolenShare(share);
        scheduleAdvance();
    }

    /** Pauses or resumes the process. No request makes progress while the process is paused. */
    public void setPaused(boolean enabled) {
        advance();
        model.setPaused(enabled);
        scheduleAdvance();
    }

    /** Ignores all input from this zone; a negative zone ends the fault. */
    public void ignoreZone(int zone) {
        ignoredZone = zone;
    }

    /** Sets how many connections the endpoint accepts; 0 for the limit of its capacity. */
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
                            private TcpConnection accepted;
                            private final HttpParser http =
                                    new HttpParser(message -> handleRequest(accepted, message));

                            @Override
                            public void onReceived(TcpConnection connection, ByteBuffer input)
                                    throws IOException {
                                accepted = connection;
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

    /** Returns whether input from an address arrives. The sender gets no error if it does not. */
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
        if (model.isQueueFull()) {
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

    /** Rejects a request, and states in the response that it was not executed. */
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
