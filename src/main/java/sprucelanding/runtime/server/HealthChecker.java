package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpGet;
import sprucelanding.runtime.eventloop.HttpParser;

/**
 * Checks the health of endpoints, each time by a GET on a connection of its own and for a bounded
 * time. Event loop's thread only.
 */
final class HealthChecker {
    /** Hears the result of a check, once. */
    interface ResultListener {
        /**
         * A check is done.
         *
         * @param endpointId the governor's own number of the endpoint
         * @param load share of its CPU that is busy; NaN if it was not told
         */
        void onResult(long endpointId, HealthCheckResult result, double load);
    }

    private static final String LOAD_PATH = "/status/load";
    private static final String HEALTH_PATH = "/health";
    private static final int STATUS_OK = 200;
    private static final int STATUS_BUSY = 503;

    /** ms beyond what a connection may take to come up. */
    private static final double RESPONSE_TIMEOUT_MILLIS = 400;

    private static final double UNKNOWN_LOAD = Double.NaN;

    private final EventLoop loop;
    private final String path;
    private final double timeoutMillis;
    private final LoadReportParser reportParser;
    private final ResultListener resultListener;
    private int inFlight;

    /**
     * Creates a checker.
     *
     * @param reportsLoad whether the site's endpoints report their load
     * @param connectTimeoutMillis ms that a connection may take to come up
     */
    HealthChecker(
            EventLoop loop,
            boolean reportsLoad,
            double connectTimeoutMillis,
            LoadReportParser reportParser,
            ResultListener resultListener) {
        this.loop = loop;
        this.path = reportsLoad ? LOAD_PATH : HEALTH_PATH;
        this.timeoutMillis = connectTimeoutMillis + RESPONSE_TIMEOUT_MILLIS;
        this.reportParser = reportParser;
        this.resultListener = resultListener;
    }

    /** Checks that wait for their results. */
    int inFlight() {
        return inFlight;
    }

    /** Begins a check; its result comes later, also where this machine cannot connect. */
    void check(DiscoveredEndpoint endpoint) {
        inFlight++;
        new HttpGet(
                loop, endpoint.address(), null, path, timeoutMillis, new PendingCheck(endpoint));
    }

    /** One check; its result counts only if the endpoint is still the process that was asked. */
    private final class PendingCheck implements HttpGet.ResponseHandler {
        private final DiscoveredEndpoint endpoint;
        private final InetSocketAddress checkedAddress;
        private final double checkedStartMillis;

        PendingCheck(DiscoveredEndpoint endpoint) {
            this.endpoint = endpoint;
            checkedAddress = endpoint.address();
            checkedStartMillis = endpoint.startedAtMillis();
        }

        @Override
        public void onResponse(HttpParser.Message response) {
            inFlight--;
            deliver(resultOf(response.status()), reportParser.load(response.body()));
        }

        @Override
        public void onFailure(boolean reached, boolean timedOut) {
            inFlight--;
            deliver(
                    timedOut ? HealthCheckResult.TIMED_OUT : HealthCheckResult.UNREACHABLE,
                    UNKNOWN_LOAD);
        }

        @Override
        public void onNotSent() {
            inFlight--;
            deliver(HealthCheckResult.NOT_PERFORMED, UNKNOWN_LOAD);
        }

        private static HealthCheckResult resultOf(int status) {
            return switch (status) {
                case STATUS_OK -> HealthCheckResult.OK;
                case STATUS_BUSY -> HealthCheckResult.BUSY;
                default -> HealthCheckResult.ERROR;
            };
        }

        private void deliver(HealthCheckResult result, double load) {
            boolean sameProcess =
                    endpoint.startedAtMillis() == checkedStartMillis
                            && endpoint.address().equals(checkedAddress);
            if (sameProcess) {
                resultListener.onResult(endpoint.id(), result, load);
            } else {
                resultListener.onResult(
                        endpoint.id(), HealthCheckResult.NOT_PERFORMED, UNKNOWN_LOAD);
            }
        }
    }
}
