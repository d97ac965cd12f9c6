package sprucelanding.runtime.governor;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpGet;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.OrcaTextParser;

/** A single health check: a GET of /probe at an endpoint, on a separate connection. */
final class HealthCheck implements HttpGet.ResponseHandler {
    /** Receives the result of a check once. */
    interface ResultListener {
        /**
         * Called when the check has ended.
         *
         * @param endpointId the endpoint
         * @param result the outcome of the check
         * @param load fraction of the endpoint's cores in use; NaN if it was not reported
         */
        void healthCheckCompleted(long endpointId, HealthCheckResult result, double load);
    }

    private static final int HTTP_OK = 200;
    private static final int HTTP_TOO_MANY_REQUESTS = 429; // RFC 6585, section 4
    private static final int HTTP_UNAVAILABLE = 503;

    private final long endpointId;
    private final ResultListener listener;

    HealthCheck(
            EventLoop loop,
            long endpointId,
            InetSocketAddress address,
            InetSocketAddress localAddress,
            double timeoutMillis,
            ResultListener listener) {
        this.endpointId = endpointId;
        this.listener = listener;
        new HttpGet(loop, address, localAddress, "/probe", timeoutMillis, this);
    }

    @Override
    public void onResponse(HttpParser.Message response) {
        listener.healthCheckCompleted(
                endpointId,
                resultOfStatus(response.status()),
                cpuUtilization(response.header("endpoint-load-metrics")));
    }

    private static HealthCheckResult resultOfStatus(int status) {
        return switch (status) {
            case HTTP_OK -> HealthCheckResult.OK;
            case HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE -> HealthCheckResult.BUSY;
            default -> HealthCheckResult.ERROR;
        };
    }

    @Override
    public void onFailure(boolean connected, boolean timedOut) {
        listener.healthCheckCompleted(endpointId, resultOfFailure(connected, timedOut), Double.NaN);
    }

    private static HealthCheckResult resultOfFailure(boolean connected, boolean timedOut) {
        if (timedOut) {
            return HealthCheckResult.TIMED_OUT;
        }
        return connected ? HealthCheckResult.ERROR : HealthCheckResult.UNREACHABLE;
    }

    /** Returns the fraction of cores in use from an ORCA load report as text; NaN if missing. */
    static double cpuUtilization(String report) {
        return OrcaTextParser.metric(report, "cpu_utilization", 1);
    }
}
