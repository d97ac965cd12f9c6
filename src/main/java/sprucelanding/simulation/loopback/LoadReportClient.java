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
 * The reporter of a proxy's load. A load report states what the proxy observed at each endpoint
 * since the previous report. Reports are sent by the xDS load reporting service, at the interval
 * that the governor requests, or as NETCONF notifications. All calls must be made on the proxy's
 * event loop; the transport's threads pass responses on to that loop.
 */
final class LoadReportClient {
    private static final double MIN_INTERVAL_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    /** The cluster name in all reports, because load is reported by endpoint and not by cluster. */
    private static final String CLUSTER = "all";

    /** The metric of the utilization that responses reported. */
    private static final String UTILIZATION_METRIC = "util";

    /** The metric of response times in ms. */
    private static final String RESPONSE_MILLIS_METRIC = "answer_ms";

    /** The prefix of the metric of requests; the name of the request class follows. */
    private static final String REQUESTS_METRIC_PREFIX = "txns.";

    private final EventLoop loop;
    private final Node node;
    private final List<String> requestClasses;
    private final Map<InetSocketAddress, EndpointStats> endpointStats = new LinkedHashMap<>();
    private final long[] arrivalsByClass;
    private StreamObserver<LoadStatsRequest> requestStream;
    private double lastReportAt;
    private boolean closed;

    LoadReportClient(EventLoop loop, Node node, List<String> requestClasses) {
        this.loop = loop;
        this.node = node;
        this.requestClasses = requestClasses;
        this.arrivalsByClass = new long[requestClasses.size()];
    }

    void recordArrival(int requestClass) {
        arrivalsByClass[requestClass]++;
    }

    void attemptStarted(InetSocketAddress endpoint) {
        endpointStats.computeIfAbsent(endpoint, ignored -> new EndpointStats()).attemptStarted();
    }

    /**
     * Counts an attempt that ended.
     *
     * @param elapsedMillis the time from the start to the end of the attempt
     * @param utilization the reported utilization, or NaN if the response reported none
     */
    void attemptEnded(
            InetSocketAddress endpoint,
            boolean succeeded,
            double elapsedMillis,
            double utilization) {
        endpointStats
                .computeIfAbsent(endpoint, ignored -> new EndpointStats())
                .attemptEnded(succeeded, elapsedMillis, utilization);
    }

    /** Opens the load report stream on a connection to a governor. */
    void open(ManagedChannel channel) {
        closed = false;
        requestStream =
                LoadReportingServiceGrpc.newStub(channel).streamLoadStats(new ResponseObserver());
        requestStream.onNext(LoadStatsRequest.newBuilder().setNode(node).build());
    }

    /** An observer that starts the reports at the interval that a response requests. */
    private final class ResponseObserver implements StreamObserver<LoadStatsResponse> {
        @Override
        public void onNext(LoadStatsResponse response) {
            Duration interval = response.getLoadReportingInterval();
            double intervalMillis =
                    interval.getSeconds() * MILLIS_PER_SECOND
                            + interval.getNanos() / NANOS_PER_MILLI;
            loop.tryExecute(
                    () -> {
                        lastReportAt = EventLoop.nowMillis();
                        scheduleReport(
                                requestStream, Math.max(MIN_INTERVAL_MILLIS, intervalMillis));
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
    }

    /**
     * Returns a report as the content of a NETCONF notification, and resets all counts. Endpoints
     * without an id are omitted.
     *
     * @param endpointIds the ids of endpoints, by address
     */
    String notificationXml(Map<InetSocketAddress, Long> endpointIds) {
        double elapsedMillis = Math.max(1, EventLoop.nowMillis() - lastReportAt);
        lastReportAt = EventLoop.nowMillis();
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
        for (int requestClass = 0; requestClass < arrivalsByClass.length; requestClass++) {
            text.append("<came><product>")
                    .append(requestClasses.get(requestClass))
                    .append("</product><txns>")
                    .append(arrivalsByClass[requestClass])
                    .append("</txns></came>");
            arrivalsByClass[requestClass] = 0;
        }
        endpointStats.clear();
        return text.append("</met>").toString();
    }

    /** Stops the reports, because the connection is closed. */
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
        double elapsedMillis = EventLoop.nowMillis() - lastReportAt;
        lastReportAt = EventLoop.nowMillis();
        UpstreamLocalityStats.Builder localityStats = UpstreamLocalityStats.newBuilder();
        endpointStats.forEach(
                (endpoint, stats) ->
                        localityStats.addUpstreamEndpointStats(upstreamStats(endpoint, stats)));
        for (int requestClass = 0; requestClass < arrivalsByClass.length; requestClass++) {
            localityStats.addLoadMetricStats(
                    metric(
                            REQUESTS_METRIC_PREFIX + requestClasses.get(requestClass),
                            arrivalsByClass[requestClass],
                            arrivalsByClass[requestClass]));
            arrivalsByClass[requestClass] = 0;
        }
        endpointStats.clear();
        Duration.Builder elapsed =
                Duration.newBuilder()
                        .setSeconds((long) (elapsedMillis / 1000))
                        .setNanos((int) (elapsedMillis % 1000 * NANOS_PER_MILLI));
        return LoadStatsRequest.newBuilder()
                .setNode(node)
                .addClusterStats(
                        ClusterStats.newBuilder()
                                .setClusterName(CLUSTER)
                                .addUpstreamLocalityStats(localityStats)
                                .setLoadReportInterval(elapsed))
                .build();
    }

    private static UpstreamEndpointStats.Builder upstreamStats(
            InetSocketAddress endpoint, EndpointStats stats) {
        SocketAddress.Builder address =
                SocketAddress.newBuilder()
                        .setAddress(endpoint.getHostString())
                        .setPortValue(endpoint.getPort());
        return UpstreamEndpointStats.newBuilder()
                .setAddress(Address.newBuilder().setSocketAddress(address))
                .setTotalIssuedRequests(stats.issued())
                .setTotalSuccessfulRequests(stats.completed())
                .setTotalErrorRequests(stats.failed())
                .addLoadMetricStats(
                        metric(
                                UTILIZATION_METRIC,
                                stats.utilizationReports(),
                                stats.utilizationSum()))
                .addLoadMetricStats(
                        metric(RESPONSE_MILLIS_METRIC, stats.completed(), stats.responseMillis()));
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
