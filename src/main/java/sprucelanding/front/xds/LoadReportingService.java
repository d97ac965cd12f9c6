package sprucelanding.front.xds;

import com.google.protobuf.Duration;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.EndpointLoadMetricStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.runtime.governor.CoreHandle;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * The load reporting service (load_stats v3): per endpoint what was tried and met, with the named
 * metrics util (a share of the cores, as answers told it, ORCA) and answer_ms; per locality the
 * metrics txns.PRODUCT, which count what came to the proxy, declined ones included.
 */
final class LoadReportingService extends LoadReportingServiceGrpc.LoadReportingServiceImplBase {
    static final String UTILIZATION_METRIC = "util";
    static final String RESPONSE_TIME_METRIC = "answer_ms";
    static final String REQUEST_COUNT_METRIC_PREFIX = "txns.";
    private final XdsFront front;
    private final ResourceNaming naming;
    private final double reportIntervalMillis;

    /**
     * @param every ms between the reports that are asked for
     */
    LoadReportingService(XdsFront front, ResourceNaming naming, double reportIntervalMillis) {
        this.front = front;
        this.naming = naming;
        this.reportIntervalMillis = reportIntervalMillis;
    }

    @Override
    public StreamObserver<LoadStatsRequest> streamLoadStats(
            StreamObserver<LoadStatsResponse> response) {
        ServerCallStreamObserver<LoadStatsResponse> out =
                (ServerCallStreamObserver<LoadStatsResponse>) response;
        boolean[] started = new boolean[1];
        out.disableAutoRequest();
        out.setOnReadyHandler(
                () -> {
                    if (!started[0]) {
                        started[0] = true;
                        out.request(1);
                    }
                });
        return new StreamObserver<>() {
            private int proxy = -1;

            @Override
            public void onNext(LoadStatsRequest request) {
                if (proxy < 0) {
                    CoreHandle core = front.core();
                    proxy =
                            request.getNode().getId().isEmpty()
                                    ? -1
                                    : core.proxyId(request.getNode().getId());
                    if (proxy < 0) {
                        out.onError(
                                Status.INVALID_ARGUMENT
                                        .withDescription("node.id: expected a name")
                                        .asRuntimeException());
                        return;
                    }
                    long nanos = (long) (reportIntervalMillis * 1e6);
                    out.onNext(
                            LoadStatsResponse.newBuilder()
                                    .setSendAllClusters(true)
                                    .setReportEndpointGranularity(true)
                                    .setLoadReportingInterval(
                                            Duration.newBuilder()
                                                    .setSeconds(nanos / 1_000_000_000)
                                                    .setNanos((int) (nanos % 1_000_000_000)))
                                    .build());
                }
                if (request.getClusterStatsCount() > 0) {
                    LoadReport report = report(request);
                    front.retryUntilAccepted(() -> front.core().loadReported(report));
                }
                out.request(1);
            }

            @Override
            public void onError(Throwable error) {
                proxy = -1;
            }

            @Override
            public void onCompleted() {
                out.onCompleted();
            }

            private LoadReport report(LoadStatsRequest request) {
                Map<Long, LoadReport.EndpointStats> loadsByEndpoint = new LinkedHashMap<>();
                long[] requestCounts = new long[naming.requestClassNames().size()];
                double spanMillis = 0;
                for (ClusterStats cluster : request.getClusterStatsList()) {
                    spanMillis =
                            Math.max(
                                    spanMillis,
                                    cluster.getLoadReportInterval().getSeconds() * 1e3
                                            + cluster.getLoadReportInterval().getNanos() / 1e6);
                    for (UpstreamLocalityStats locality : cluster.getUpstreamLocalityStatsList()) {
                        locality.getUpstreamEndpointStatsList()
                                .forEach(stats -> addEndpointLoad(stats, loadsByEndpoint));
                        for (EndpointLoadMetricStats metric : locality.getLoadMetricStatsList()) {
                            int classIndex =
                                    metric.getMetricName().startsWith(REQUEST_COUNT_METRIC_PREFIX)
                                            ? naming.requestClassNames()
                                                    .indexOf(
                                                            metric.getMetricName()
                                                                    .substring(
                                                                            REQUEST_COUNT_METRIC_PREFIX
                                                                                    .length()))
                                            : -1;
                            if (classIndex >= 0) {
                                requestCounts[classIndex] +=
                                        metric.getNumRequestsFinishedWithMetric();
                            }
                        }
                    }
                }
                List<Long> requestsByClass = new ArrayList<>();
                for (long count : requestCounts) {
                    requestsByClass.add(count);
                }
                return new LoadReport(
                        proxy, spanMillis, List.copyOf(loadsByEndpoint.values()), requestsByClass);
            }
        };
    }

    private void addEndpointLoad(
            UpstreamEndpointStats stats, Map<Long, LoadReport.EndpointStats> loadsByEndpoint) {
        SocketAddress address = stats.getAddress().getSocketAddress();
        long endpointId = naming.endpointIdAt(address.getAddress(), address.getPortValue());
        if (endpointId == 0) {
            return;
        }
        double totalResponseTime = 0;
        double totalLoad = 0;
        long loadSamples = 0;
        for (EndpointLoadMetricStats metric : stats.getLoadMetricStatsList()) {
            if (metric.getMetricName().equals(UTILIZATION_METRIC)) {
                totalLoad = metric.getTotalMetricValue();
                loadSamples = metric.getNumRequestsFinishedWithMetric();
            } else if (metric.getMetricName().equals(RESPONSE_TIME_METRIC)) {
                totalResponseTime = metric.getTotalMetricValue();
            }
        }
        LoadReport.EndpointStats load =
                new LoadReport.EndpointStats(
                        endpointId,
                        stats.getTotalIssuedRequests(),
                        stats.getTotalSuccessfulRequests(),
                        stats.getTotalErrorRequests(),
                        totalResponseTime,
                        totalLoad,
                        loadSamples);
        loadsByEndpoint.merge(
                endpointId,
                load,
                (first, second) ->
                        new LoadReport.EndpointStats(
                                endpointId,
                                first.issued() + second.issued(),
                                first.completed() + second.completed(),
                                first.failed() + second.failed(),
                                first.totalResponseMillis() + second.totalResponseMillis(),
                                first.loadSum() + second.loadSum(),
                                first.loadSamples() + second.loadSamples()));
    }
}
