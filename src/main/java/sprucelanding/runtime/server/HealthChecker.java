package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpGet;
import sprucelanding.runtime.eventloop.HttpParser;

/**
 * A checker of endpoints' health. Each check is one HTTP GET on a separate connection with a
 * timeout. The checker is used on the event loop's thread only.
 */
final class HealthChecker {
    /** A receiver of the results; it is called once for each check. */
    interface ResultListener {
        /**
         * Handles the result of a check.
         *
         * @param endpointId the governor's own number of the endpoint
         * @param load the busy share of the endpoint's CPU; NaN if it was not reported
         */
        void onResult(long endpointId, HealthCheckResult result, double load);
    }

    private static final String LOAD_PATH = "/status/load";
    private static final String HEALTH_PATH = "/health";
    private static final int STATUS_OK = 200;
    private static final int STATUS_BUSY = 503;

    /** Time for the response, in addition to the time for connecting. */
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
     * @param connectTimeoutMillis the time allowed for connecting, ms
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

    /** Returns the number of checks that wait for their results. */
    int inFlight() {
        return inFlight;
    }

    /**
     * Starts a check. The result is always delivered later, even if this machine cannot open a
     * connection.
     */
    void check(DiscoveredEndpoint endpoint) {
        inFlight++;
        new HttpGet(
                loop, endpoint.address(), null, path, timeoutMillis, new PendingCheck(endpoint));
    }

    /**
     * One check in progress. Its result is used only if the endpoint is still the process that was
     * checked, which has the same address and start time.
     */
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
            boolean isSameProcess =
                    endpoint.startedAtMillis() == checkedStartMillis
                            && endpoint.address().equals(checkedAddress);
            if (isSameProcess) {
                resultListener.onResult(endpoint.id(), result, load);
            } else {
                resultListener.onResult(
                        endpoint.id(), HealthCheckResult.NOT_PERFORMED, UNKNOWN_LOAD);
            }
        }
    }
}
