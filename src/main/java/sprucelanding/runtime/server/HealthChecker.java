package sprucelanding.runtime.server;

import java.net.InetSocketAddress;
import sprucelanding.control.decision.HealthCheckResult;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.runtime.eventloop.HttpGet;
import sprucelanding.runtime.eventloop.HttpParser;

/** Asks replicas how they are, each time on a connection of its own and for a bounded time. */
final class HealthChecker {
    /** Told the answer once; load: NaN if none was told. */
    interface ResultListener {
        void onResult(long endpointId, HealthCheckResult result, double load);
    }

    private static final double RESPONSE_TIMEOUT_MILLIS =
            400; // ms beyond what a connection may take

    private final EventLoop loop;
    private final String path;
    private final double timeoutMillis;
    private final LoadReportParser reportParser;
    private final ResultListener resultListener;
    private int inFlight;

    /**
     * Connects: ms that a connection may take to come up; loads: whether the deployment has
     * reports.
     */
    HealthChecker(
            EventLoop loop,
            boolean reportsLoad,
            double connectTimeoutMillis,
            LoadReportParser reportParser,
            ResultListener resultListener) {
        this.loop = loop;
        this.path = reportsLoad ? "/status/load" : "/health";
        this.timeoutMillis = connectTimeoutMillis + RESPONSE_TIMEOUT_MILLIS;
        this.reportParser = reportParser;
        this.resultListener = resultListener;
    }

    int inFlight() {
        return inFlight;
    }

    void check(DiscoveredEndpoint endpoint) {
        inFlight++;
        InetSocketAddress address = endpoint.address;
        double startedAtMillis = endpoint.startedAtMillis;
        new HttpGet(
                loop,
                endpoint.address,
                null,
                path,
                timeoutMillis,
                new HttpGet.ResponseHandler() {
                    @Override
                    public void onResponse(HttpParser.Message response) {
                        inFlight--;
                        deliver(
                                response.status() == 200
                                        ? HealthCheckResult.OK
                                        : response.status() == 503
                                                ? HealthCheckResult.BUSY
                                                : HealthCheckResult.ERROR,
                                reportParser.load(response.body()));
                    }

                    @Override
                    public void onFailure(boolean reached, boolean timedOut) {
                        inFlight--;
                        deliver(
                                timedOut
                                        ? HealthCheckResult.TIMED_OUT
                                        : HealthCheckResult.UNREACHABLE,
                                Double.NaN);
                    }

                    @Override
                    public void onNotSent() {
                        inFlight--;
                        deliver(HealthCheckResult.NOT_PERFORMED, Double.NaN);
                    }

                    /** Of another process that has the name by now, it tells nothing. */
                    private void deliver(HealthCheckResult result, double load) {
                        boolean sameProcess =
                                endpoint.startedAtMillis == startedAtMillis
                                        && endpoint.address.equals(address);
                        resultListener.onResult(
                                endpoint.id,
                                sameProcess ? result : HealthCheckResult.NOT_PERFORMED,
                                sameProcess ? load : Double.NaN);
                    }
                });
    }
}
