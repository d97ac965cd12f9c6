package sprucelanding.simulation.emulator;

import java.util.SplittableRandom;
import sprucelanding.simulation.model.EndpointSelector;
import sprucelanding.simulation.model.LocalOutliers;
import sprucelanding.simulation.model.RequestAdmission;
import sprucelanding.simulation.model.Route;

/**
 * Data path of a proxy. Admits requests, sends each request to an endpoint selected from the
 * tables, retries failed attempts, and keeps connections to endpoints.
 */
final class RequestForwarder {
    /** Listener that receives the result of a request at the proxy. */
    interface ResponseListener {
        /**
         * Called when the proxy responds.
         *
         * @param status HTTP status; 0 if the proxy is down
         * @param notExecuted whether there is proof that the request was not executed
         */
        void onResponse(int status, boolean notExecuted);
    }

    private static final double CONNECT_TIMEOUT_MILLIS = 250;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Status of an attempt that got no response. */
    private static final int NO_RESPONSE = 0;

    private final EmulatedFleet fleet;
    private final EmulatedProxy proxy;
    private final ProxyConfiguration configuration;
    private final ProxyLoadStats loadStats;
    private final SplittableRandom random;
    private final EndpointSelector<EmulatedEndpoint> endpointSelector;
    private final int[] openAttempts;
    private final int[] idleConnections;
    private RequestAdmission admission = new RequestAdmission();
    private LocalOutliers<EmulatedEndpoint> localOutliers;

    RequestForwarder(
            EmulatedFleet fleet,
            EmulatedProxy proxy,
            ProxyConfiguration configuration,
            ProxyLoadStats loadStats,
            long seed) {
        this.fleet = fleet;
        this.proxy = proxy;
        this.configuration = configuration;
        this.loadStats = loadStats;
        this.random = new SplittableRandom(seed);
        this.openAttempts = new int[fleet.endpoints.size()];
        this.idleConnections = new int[fleet.endpoints.size()];
        this.endpointSelector =
                new EndpointSelector<>(
                        fleet.pick, random, endpoint -> openAttempts[endpoint.number]);
    }

    /** Resets the state that a proxy process loses when it ends. */
    void reset() {
        admission = new RequestAdmission();
        localOutliers = fleet.newLocalOutliers();
    }

    void handleRequest(
            ResponseListener client, int requestClass, long id, double work, double deadline) {
        loadStats.requestArrived(requestClass);
        String name = fleet.requestClasses.get(requestClass);
        Route route = configuration.route(requestClass);
        if (!admission.admits(name, route, fleet.clock.now(), random)) {
            client.onResponse(UNAVAILABLE, true);
            return;
        }
        new Request(client, requestClass, id, work, deadline).startAttempt();
    }

    /** Removes the idle connections to an endpoint that broke all its connections. */
    void clearIdleConnections(EmulatedEndpoint endpoint) {
        idleConnections[endpoint.number] = 0;
    }

    /** Closes all idle connections. */
    void closeIdleConnections() {
        fleet.endpoints.forEach(this::closeIdleConnections);
    }

    /** Closes idle connections to endpoints that are not in any table. */
    void closeUnlistedConnections() {
        boolean[] listed = new boolean[idleConnections.length];
        configuration
                .tables()
                .clusters
                .values()
                .forEach(
                        entries ->
                                entries.values()
                                        .forEach(entry -> listed[entry.endpoint.number] = true));
        for (int i = 0; i < idleConnections.length; i++) {
            if (!listed[i] && idleConnections[i] > 0) {
                closeIdleConnections(fleet.endpoints.get(i));
            }
        }
    }

    private void closeIdleConnections(EmulatedEndpoint endpoint) {
        endpoint.idleConnectionsClosed(idleConnections[endpoint.number]);
        idleConnections[endpoint.number] = 0;
    }

    /** Request of a client with all its attempts. */
    private final class Request {
        private final ResponseListener client;
        private final int requestClass;
        private final long id;
        private final double work;
        private final double deadline;
        private int attempts;
        private EmulatedEndpoint previousEndpoint;

        Request(ResponseListener client, int requestClass, long id, double work, double deadline) {
            this.client = client;
            this.requestClass = requestClass;
            this.id = id;
            this.work = work;
            this.deadline = deadline;
        }

        void startAttempt() {
            EmulatedEndpoint endpoint =
                    endpointSelector.select(
                            configuration.tables(),
                            fleet.requestClasses.get(requestClass),
                            previousEndpoint,
                            localOutliers,
                            fleet.clock.now());
            if (endpoint == null) {
                client.onResponse(UNAVAILABLE, true);
                return;
            }
            attempts++;
            new Attempt(this, endpoint).start();
        }

        void attemptFailed(EmulatedEndpoint endpoint, int status, boolean notExecuted, double now) {
            Route route = configuration.route(requestClass);
            if (Route.shouldRetry(route, attempts, notExecuted, deadline - now)) {
                previousEndpoint = endpoint;
                startAttempt();
            } else {
                client.onResponse(status == NO_RESPONSE ? GATEWAY_TIMEOUT : status, notExecuted);
            }
        }
    }

    /** Attempt of a request at an endpoint. */
    private final class Attempt implements EmulatedEndpoint.ResponseListener {
        private final Request request;
        private final EmulatedEndpoint endpoint;
        private final double startedAt = fleet.clock.now();
        private final int endpointIncarnation;
        private VirtualClock.ScheduledTask timeout;

        /**
         * Whether this attempt holds a connection to the endpoint. A held connection is not idle.
         */
        private boolean connected;

        private boolean ended;

        Attempt(Request request, EmulatedEndpoint endpoint) {
            this.request = request;
            this.endpoint = endpoint;
            this.endpointIncarnation = endpoint.incarnation();
        }

        void start() {
            openAttempts[endpoint.number]++;
            loadStats.attemptStarted(endpoint);
            double remainingMillis = Math.max(1, request.deadline - startedAt);
            timeout =
                    fleet.clock.scheduleAfter(
                            remainingMillis, () -> complete(NO_RESPONSE, false, Double.NaN));
            if (idleConnections[endpoint.number] > 0) {
                idleConnections[endpoint.number]--;
                connected = true;
                fleet.clock.scheduleAfter(EmulatedNetwork.HOP_MILLIS, this::send);
            } else if (!fleet.network.isOpen(proxy.zone, endpoint.zone)) {
                fleet.clock.scheduleAfter(
                        Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis),
                        () -> complete(NO_RESPONSE, true, Double.NaN));
            } else {
                fleet.clock.scheduleAfter(2 * EmulatedNetwork.HOP_MILLIS, this::connect);
            }
        }

        private void connect() {
            if (ended) {
                return;
            }
            if (!endpoint.isUp()) {
                complete(NO_RESPONSE, true, Double.NaN);
            } else if (!endpoint.acceptsConnection()) {
                complete(NO_RESPONSE, false, Double.NaN);
            } else {
                connected = true;
                endpoint.connectionOpened();
                send();
            }
        }

        private void send() {
            if (ended) {
                return;
            }
            endpoint.request(
                    this,
                    proxy.number,
                    proxy.zone,
                    request.requestClass,
                    request.id,
                    request.attempts,
                    request.work);
        }

        @Override
        public void onResponse(int status, boolean notExecuted, double utilization) {
            if (!ended) {
                idleConnections[endpoint.number]++;
                connected = false;
                complete(status, notExecuted, utilization);
            }
        }

        @Override
        public void onConnectionBroken() {
            connected = false;
            complete(NO_RESPONSE, false, Double.NaN);
        }

        private void complete(int status, boolean notExecuted, double utilization) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel();
            endpoint.removeListener(this);
            if (connected) {
                // closes the connection; the endpoint continues to work on the request
                endpoint.connectionClosed(endpointIncarnation);
            }
            openAttempts[endpoint.number]--;
            double now = fleet.clock.now();
            boolean succeeded = status == OK;
            loadStats.attemptEnded(endpoint, succeeded, now - startedAt, utilization);
            localOutliers.attemptEnded(endpoint, succeeded, now);
            if (succeeded) {
                request.client.onResponse(OK, false);
            } else {
                request.attemptFailed(endpoint, status, notExecuted, now);
            }
        }
    }
}
