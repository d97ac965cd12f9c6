package sprucelanding.runtime.governor;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpGet;
import sprucelanding.runtime.eventloop.HttpParser;
import sprucelanding.runtime.eventloop.OrcaTextParser;

/** One probe: a GET of /probe at a replica, one answer, on a connection of its own. */
final class HealthCheck implements HttpGet.ResponseHandler {
    /** Told the answer once; the load is a share of its cores, NaN if it told none. */
    interface ResultListener {
        void healthCheckCompleted(long endpointId, HealthCheckResult result, double load);
    }

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
        HealthCheckResult result =
                response.status() == 200
                        ? HealthCheckResult.OK
                        : response.status() == 429 || response.status() == 503
                                ? HealthCheckResult.BUSY
                                : HealthCheckResult.ERROR;
        listener.healthCheckCompleted(
                endpointId, result, cpuUtilization(response.header("endpoint-load-metrics")));
    }

    @Override
    public void onFailure(boolean connected, boolean timedOut) {
        listener.healthCheckCompleted(
                endpointId,
                timedOut
                        ? HealthCheckResult.TIMED_OUT
                        : connected ? HealthCheckResult.ERROR : HealthCheckResult.UNREACHABLE,
                Double.NaN);
    }

    /** The share of busy cores in the text form of an ORCA load report; NaN if it tells none. */
    static double cpuUtilization(String report) {
        return OrcaTextParser.metric(report, "cpu_utilization", 1);
    }
}
