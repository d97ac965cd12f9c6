package sprucelanding.simulation.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.TcpConnection;
import sprucelanding.simulation.model.EndpointSelector;
import sprucelanding.simulation.model.LocalOutliers;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.RequestAdmission;
import sprucelanding.simulation.model.Route;

/**
 * The data path of a proxy. The forwarder accepts clients over HTTP, admits or rejects their
 * requests, sends each admitted request to the endpoint that the tables select, and retries failed
 * attempts. All calls must be made on the proxy's event loop.
 */
final class HttpForwarder {
    private static final int ACCEPT_BACKLOG = 64;
    private static final int MAX_BUFFERED_BYTES = 65_536;

    /** The default of a numeric header that is missing; no valid value is negative. */
    private static final int MISSING_NUMBER = -1;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** The status of an attempt that got no response. */
    private static final int NO_RESPONSE = 0;

    private static final double DEFAULT_TIMEOUT_MILLIS = 1000;

    private final EventLoop loop;
    private final int proxy;
    private final List<String> requestClasses;
    private final double connectTimeoutMillis;
    private final InetSocketAddress sourceAddress;
    private final SplittableRandom random;
    private final LoadReportClient loadReports;
    private final Supplier<ProxyTables<InetSocketAddress>> tables;
    private final EndpointSelector<InetSocketAddress> endpointSelector;
    private final LocalOutliers<InetSocketAddress> localOutliers;
    private final RequestAdmission admission = new RequestAdmission();
    private final UpstreamPool upstreams;
    private final Map<InetSocketAddress, Integer> openAttemptsByEndpoint = new HashMap<>();
    private final Set<TcpConnection> clientConnections = new HashSet<>();
    private ServerSocketChannel server;

    /** The port; 0 until the first start. A restart listens on the same port. */
    private int port;

    /**
     * Creates a forwarder that accepts no clients yet.
     *
     * @param sourceAddress the address to connect to endpoints from; null for any
     */
    HttpForwarder(
            ProxyContext context, List<String> requestClasses, InetSocketAddress sourceAddress) {
        SimulatedProxy.ProxyOptions options = context.options();
        this.loop = context.loop();
        this.proxy = context.identity().number();
        this.requestClasses = requestClasses;
        this.connectTimeoutMillis = options.connectTimeoutMillis();
        this.sourceAddress = sourceAddress;
        this.random = context.random();
        this.loadReports = context.loadReports();
        this.tables = context.tables();
        this.upstreams = new UpstreamPool();
        this.localOutliers =
                new LocalOutliers<>(options.ejectionThreshold(), options.ejectionMillis());
        this.endpointSelector =
                new EndpointSelector<>(
                        ProxyTables.Pick.valueOf(options.pick().toUpperCase(Locale.ROOT)),
                        random,
                        endpoint -> openAttemptsByEndpoint.getOrDefault(endpoint, 0));
    }

    /** Starts to accept clients. */
    void start() {
        server =
                loop.listen(
                        new InetSocketAddress("127.0.0.1", port),
                        ACCEPT_BACKLOG,
                        channel ->
                                clientConnections.add(
                                        loop.register(
                                                channel,
                                                MAX_BUFFERED_BYTES,
                                                new ClientConnection())));
        port = loop.localPort(server);
    }

    int port() {
        return port;
    }

    /** Stops accepting clients. Established connections stay open. */
    void closeServer() {
        try {
            server.close();
        } catch (IOException e) {
            // the server accepts no clients either way
        }
    }

    /** Resets the connections of clients, and closes the idle connections to endpoints. */
    void closeConnections() {
        Set.copyOf(clientConnections).forEach(TcpConnection::reset);
        upstreams.closeAll();
    }

    /** Closes the idle connections to endpoints that are in no table. */
    void closeUnlistedConnections() {
        Set<InetSocketAddress> listed = new HashSet<>();
        tables.get()
                .clusters
                .values()
                .forEach(entries -> entries.values().forEach(entry -> listed.add(entry.endpoint)));
        upstreams.retain(listed);
    }

    /** The listener of one client's connection. */
    private final class ClientConnection implements TcpConnection.Listener {
        private TcpConnection accepted;
        private final HttpParser http = new HttpParser(message -> handleRequest(accepted, message));

        @Override
        public void onReceived(TcpConnection connection, ByteBuffer input) throws IOException {
            accepted = connection;
            http.parse(input);
        }

        @Override
        public void onClosed(TcpConnection connection, String reason) {
            clientConnections.remove(connection);
        }
    }

    private void handleRequest(TcpConnection client, HttpParser.Message message) {
        int requestClass = requestClasses.indexOf(message.targetOrStatus().substring(1));
        long id = (long) message.numberHeader(RequestHeaders.REQUEST_ID, MISSING_NUMBER);
        if (requestClass < 0 || id < 0) {
            client.write(HttpParser.response(BAD_REQUEST));
            return;
        }
        loadReports.recordArrival(requestClass);
        double timeoutMillis =
                message.numberHeader(RequestHeaders.REMAINING_MILLIS, DEFAULT_TIMEOUT_MILLIS);
        Request request =
                new Request(
                        client,
                        requestClass,
                        id,
                        message.header(RequestHeaders.WORK),
                        EventLoop.nowMillis() + timeoutMillis);
        if (!admission.admits(
                requestClasses.get(requestClass),
                route(requestClass),
                EventLoop.nowMillis(),
                random)) {
            request.respond(UNAVAILABLE, true);
            return;
        }
        request.startAttempt();
    }

    /** Returns the route of a request class, or null if there is none. */
    private Route route(int requestClass) {
        return tables.get().routes.get(requestClasses.get(requestClass));
    }

    /** One request of a client, with all its attempts. */
    private final class Request {
        private final TcpConnection client;
        private final int requestClass;
        private final long id;
        private final String work;
        private final double deadline;
        private int attempts;
        private InetSocketAddress previousEndpoint;

        Request(TcpConnection client, int requestClass, long id, String work, double deadline) {
            this.client = client;
            this.requestClass = requestClass;
            this.id = id;
            this.work = work;
            this.deadline = deadline;
        }

        void startAttempt() {
            InetSocketAddress endpoint =
                    endpointSelector.select(
                            tables.get(),
                            requestClasses.get(requestClass),
                            previousEndpoint,
                            localOutliers,
                            EventLoop.nowMillis());
            if (endpoint == null) {
                respond(UNAVAILABLE, true);
                return;
            }
            attempts++;
            new Attempt(this, endpoint).start();
        }

        void attemptFailed(
                InetSocketAddress endpoint, int status, boolean notExecuted, double now) {
            if (Route.shouldRetry(route(requestClass), attempts, notExecuted, deadline - now)) {
                previousEndpoint = endpoint;
                startAttempt();
            } else {
                respond(status == NO_RESPONSE ? GATEWAY_TIMEOUT : status, notExecuted);
            }
        }

        void respond(int status, boolean notExecuted) {
            String idText = Long.toString(id);
            client.write(
                    notExecuted
                            ? HttpParser.response(
                                    status,
                                    RequestHeaders.NOT_EXECUTED,
                                    "1",
                                    RequestHeaders.REQUEST_ID,
                                    idText)
                            : HttpParser.response(status, RequestHeaders.REQUEST_ID, idText));
        }
    }

    /** One attempt of a request at an endpoint. */
    private final class Attempt implements UpstreamPool.ResponseListener {
        private final Request request;
        private final InetSocketAddress endpoint;
        private final double startedAt = EventLoop.nowMillis();
        private UpstreamPool.Connection connection;
        private EventLoop.Timer timeout;
        private boolean ended;

        Attempt(Request request, InetSocketAddress endpoint) {
            this.request = request;
            this.endpoint = endpoint;
        }

        void start() {
            openAttemptsByEndpoint.merge(endpoint, 1, Integer::sum);
            loadReports.attemptStarted(endpoint);
            UpstreamPool.Connection idle = upstreams.takeIdle(endpoint);
            double remainingMillis = Math.max(1, request.deadline - startedAt);
            timeout = loop.schedule(remainingMillis, this::onTimeout);
            if (idle == null) {
                connection = upstreams.newConnection(endpoint);
                connection.open(loop, sourceAddress, this, encodeRequest());
                UpstreamPool.Connection opened = connection;
                loop.schedule(
                        Math.min(connectTimeoutMillis, remainingMillis), opened::closeIfConnecting);
            } else {
                connection = idle;
                connection.send(this, encodeRequest());
            }
        }

        private byte[] encodeRequest() {
            return HttpParser.request(
                    "POST",
                    "/" + requestClasses.get(request.requestClass),
                    RequestHeaders.REQUEST_ID,
                    Long.toString(request.id),
                    RequestHeaders.WORK,
                    request.work,
                    RequestHeaders.PROXY,
                    Integer.toString(proxy),
                    RequestHeaders.ATTEMPT,
                    Integer.toString(request.attempts));
        }

        private void onTimeout() {
            if (!ended) {
                connection.abandon();
                complete(NO_RESPONSE, false, Double.NaN);
                connection.close(); // the endpoint continues to execute the request
            }
        }

        @Override
        public void onResponse(int status, boolean notExecuted, double utilization) {
            complete(status, notExecuted, utilization);
        }

        @Override
        public void onConnectionClosed(boolean connected) {
            complete(NO_RESPONSE, !connected, Double.NaN);
        }

        private void complete(int status, boolean notExecuted, double utilization) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel();
            openAttemptsByEndpoint.merge(endpoint, -1, Integer::sum);
            double now = EventLoop.nowMillis();
            boolean succeeded = status == OK;
            loadReports.attemptEnded(endpoint, succeeded, now - startedAt, utilization);
            localOutliers.attemptEnded(endpoint, succeeded, now);
            if (succeeded) {
                request.respond(OK, false);
            } else {
                request.attemptFailed(endpoint, status, notExecuted, now);
            }
        }
    }
}
