package sprucelanding.simulation.loopback;

import com.google.protobuf.Duration;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.EndpointLoadMetricStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.runtime.eventloop.EventLoop;
import sprucelanding.simulation.model.EndpointStats;

/**
 * A proxy's load reports: what it met at each address since the last one, as often as it is asked
 * to tell.
 */
final class LoadReportClient {
    private final EventLoop loop;
    private final Node node;
    private final List<String> requestClasses;
    private final Map<InetSocketAddress, EndpointStats> endpointStats = new LinkedHashMap<>();
    private final long[] arrivals;
    private StreamObserver<LoadStatsRequest> requestStream;
    private double reportedAt;
    private boolean closed;

    LoadReportClient(EventLoop loop, Node node, List<String> requestClasses) {
        this.loop = loop;
        this.node = node;
        this.requestClasses = requestClasses;
        this.arrivals = new long[requestClasses.size()];
    }

    void recordArrival(int requestClass) {
        arrivals[requestClass]++;
    }

    void attemptStarted(InetSocketAddress endpoint) {
        endpointStats.computeIfAbsent(endpoint, ignored -> new EndpointStats()).attemptStarted();
    }

    /** A try ended; util NaN if the answer told none. */
    void attemptEnded(
            InetSocketAddress endpoint, boolean settled, double elapsedMillis, double utilization) {
        endpointStats
                .computeIfAbsent(endpoint, ignored -> new EndpointStats())
                .attemptEnded(settled, elapsedMillis, utilization);
    }

    void open(ManagedChannel channel) {
        closed = false;
        requestStream =
                LoadReportingServiceGrpc.newStub(channel)
                        .streamLoadStats(
                                new StreamObserver<>() {
                                    @Override
                                    public void onNext(LoadStatsResponse response) {
                                        double intervalMillis =
                                                response.getLoadReportingInterval().getSeconds()
                                                                * 1e3
                                                        + response.getLoadReportingInterval()
                                                                        .getNanos()
                                                                / 1e6;
                                        loop.tryExecute(
                                                () -> {
                                                    reportedAt = EventLoop.nowMillis();
                                                    scheduleReport(
                                                            requestStream,
                                                            Math.max(50, intervalMillis));
                                                });
                                    }

                                    @Override
                                    public void onError(Throwable error) {
                                        loop.tryExecute(() -> closed = true);
                                    }

                                    @Override
                                    public void onCompleted() {
                                        loop.tryExecute(() -> closed = true);
                                    }
                                });
        requestStream.onNext(LoadStatsRequest.newBuilder().setNode(node).build());
    }

    /**
     * The same as a NETCONF notification's content, by the replicas' ids; what has no id is left
     * out.
     */
    String notificationXml(Map<InetSocketAddress, Long> endpointIds) {
        double elapsedMillis = Math.max(1, EventLoop.nowMillis() - reportedAt);
        reportedAt = EventLoop.nowMillis();
        StringBuilder text =
                new StringBuilder("<met xmlns=\"urn:sprucelanding:proxy\"><span-ms>")
                        .append(elapsedMillis)
                        .append("</span-ms>");
        endpointStats.forEach(
                (endpoint, stats) -> {
                    if (endpointIds.containsKey(endpoint)) {
                        text.append("<replica><id>")
                                .append(endpointIds.get(endpoint))
                                .append("</id><issued>")
                                .append(stats.issued())
                                .append("</issued><settled>")
                                .append(stats.completed())
                                .append("</settled><voided>")
                                .append(stats.failed())
                                .append("</voided><answer-ms>")
                                .append(stats.responseMillis())
                                .append("</answer-ms><util>")
                                .append(stats.utilizationSum())
                                .append("</util><told>")
                                .append(stats.utilizationReports())
                                .append("</told></replica>");
                    }
                });
        for (int requestClass = 0; requestClass < arrivals.length; requestClass++) {
            text.append("<came><product>")
                    .append(requestClasses.get(requestClass))
                    .append("</product><txns>")
                    .append(arrivals[requestClass])
                    .append("</txns></came>");
            arrivals[requestClass] = 0;
        }
        endpointStats.clear();
        return text.append("</met>").toString();
    }

    void close() {
        closed = true;
        requestStream = null;
    }

    private void scheduleReport(StreamObserver<LoadStatsRequest> stream, double intervalMillis) {
        if (closed || stream != requestStream) {
            return;
        }
        loop.schedule(
                intervalMillis,
                () -> {
                    if (!closed && stream == requestStream) {
                        stream.onNext(buildRequest());
                        scheduleReport(stream, intervalMillis);
                    }
                });
    }

    private LoadStatsRequest buildRequest() {
        double elapsedMillis = EventLoop.nowMillis() - reportedAt;
        reportedAt = EventLoop.nowMillis();
        UpstreamLocalityStats.Builder localityStats = UpstreamLocalityStats.newBuilder();
        endpointStats.forEach(
                (endpoint, stats) ->
                        localityStats.addUpstreamEndpointStats(
                                UpstreamEndpointStats.newBuilder()
                                        .setAddress(
                                                Address.newBuilder()
                                                        .setSocketAddress(
                                                                SocketAddress.newBuilder()
                                                                        .setAddress(
                                                                                endpoint
                                                                                        .getHostString())
                                                                        .setPortValue(
                                                                                endpoint
                                                                                        .getPort())))
                                        .setTotalIssuedRequests(stats.issued())
                                        .setTotalSuccessfulRequests(stats.completed())
                                        .setTotalErrorRequests(stats.failed())
                                        .addLoadMetricStats(
                                                metric(
                                                        "util",
                                                        stats.utilizationReports(),
                                                        stats.utilizationSum()))
                                        .addLoadMetricStats(
                                                metric(
                                                        "answer_ms",
                                                        stats.completed(),
                                                        stats.responseMillis()))));
        for (int requestClass = 0; requestClass < arrivals.length; requestClass++) {
            localityStats.addLoadMetricStats(
                    metric(
                            "txns." + requestClasses.get(requestClass),
                            arrivals[requestClass],
                            arrivals[requestClass]));
            arrivals[requestClass] = 0;
        }
        endpointStats.clear();
        return LoadStatsRequest.newBuilder()
                .setNode(node)
                .addClusterStats(
                        ClusterStats.newBuilder()
                                .setClusterName("all")
                                .addUpstreamLocalityStats(localityStats)
                                .setLoadReportInterval(
                                        Duration.newBuilder()
                                                .setSeconds((long) (elapsedMillis / 1000))
                                                .setNanos((int) (elapsedMillis % 1000 * 1e6))))
                .build();
    }

    private static EndpointLoadMetricStats metric(
            String name, long finishedRequests, double total) {
        return EndpointLoadMetricStats.newBuilder()
                .setMetricName(name)
                .setNumRequestsFinishedWithMetric(finishedRequests)
                .setTotalMetricValue(total)
                .build();
    }
}
