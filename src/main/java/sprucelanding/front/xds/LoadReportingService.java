package sprucelanding.front.xds;

import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * The load reporting service (load_stats v3). {@link LoadReportParser} defines the named metrics
 * that proxies report for each endpoint, and for the requests of a locality that reached the proxy.
 */
final class LoadReportingService extends LoadReportingServiceGrpc.LoadReportingServiceImplBase {
    private final XdsFront front;
    private final ResourceNaming naming;
    private final double reportIntervalMillis;

    /**
     * Creates the service of a front.
     *
     * @param reportIntervalMillis ms between two reports of a proxy
     */
    LoadReportingService(XdsFront front, ResourceNaming naming, double reportIntervalMillis) {
        this.front = front;
        this.naming = naming;
        this.reportIntervalMillis = reportIntervalMillis;
    }

    @Override
    public StreamObserver<LoadStatsRequest> streamLoadStats(
            StreamObserver<LoadStatsResponse> responses) {
        return new LoadReportStream(
                front,
                naming,
                reportIntervalMillis,
                (ServerCallStreamObserver<LoadStatsResponse>) responses);
    }
}
