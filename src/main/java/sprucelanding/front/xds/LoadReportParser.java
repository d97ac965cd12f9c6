package sprucelanding.front.xds;

import com.google.protobuf.Duration;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.EndpointLoadMetricStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.loadreport.LoadReport;
import sprucelanding.front.RequestCounter;
import sprucelanding.runtime.governor.ResourceNaming;

/**
 * Converter of load statistics to load reports. The metric {@value #UTILIZATION_METRIC} of an
 * endpoint is the fraction of the endpoint's cores in use, as reported in its responses (ORCA). The
 * metric {@value #RESPONSE_TIME_METRIC} of an endpoint is the response time in ms. The metrics
 * {@value #REQUEST_COUNT_METRIC_PREFIX}CLASS of a locality count the requests of a class that
 * reached the proxy, including rejected requests.
 */
final class LoadReportParser {
    static final String UTILIZATION_METRIC = "util";
    static final String RESPONSE_TIME_METRIC = "answer_ms";
    static final String REQUEST_COUNT_METRIC_PREFIX = "txns.";

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    /** The id that {@link ResourceNaming#endpointIdAt} returns for an unknown address. */
    private static final long UNKNOWN_ENDPOINT = 0;

    private final ResourceNaming naming;

    LoadReportParser(ResourceNaming naming) {
        this.naming = naming;
    }

    /** Returns the sums over all clusters; unknown endpoints and request classes are skipped. */
    LoadReport parse(int proxyId, LoadStatsRequest request) {
        Map<Long, LoadReport.EndpointStats> loadsByEndpoint = new LinkedHashMap<>();
        RequestCounter requests = new RequestCounter(naming.requestClassNames());
        double spanMillis = 0;
        for (ClusterStats cluster : request.getClusterStatsList()) {
            spanMillis = Math.max(spanMillis, toMillis(cluster.getLoadReportInterval()));
            for (UpstreamLocalityStats locality : cluster.getUpstreamLocalityStatsList()) {
                locality.getUpstreamEndpointStatsList()
                        .forEach(stats -> addEndpointLoad(stats, loadsByEndpoint));
                countRequests(locality, requests);
            }
        }
        return new LoadReport(
                proxyId, spanMillis, List.copyOf(loadsByEndpoint.values()), requests.counts());
    }

    private static double toMillis(Duration duration) {
        return duration.getSeconds() * MILLIS_PER_SECOND + duration.getNanos() / NANOS_PER_MILLI;
    }

    private static void countRequests(UpstreamLocalityStats locality, RequestCounter requests) {
        for (EndpointLoadMetricStats metric : locality.getLoadMetricStatsList()) {
            String name = metric.getMetricName();
            if (name.startsWith(REQUEST_COUNT_METRIC_PREFIX)) {
                String className = name.substring(REQUEST_COUNT_METRIC_PREFIX.length());
                requests.add(className, metric.getNumRequestsFinishedWithMetric());
            }
        }
    }

    private void addEndpointLoad(
            UpstreamEndpointStats stats, Map<Long, LoadReport.EndpointStats> loadsByEndpoint) {
        SocketAddress address = stats.getAddress().getSocketAddress();
        long endpointId = naming.endpointIdAt(address.getAddress(), address.getPortValue());
        if (endpointId != UNKNOWN_ENDPOINT) {
            loadsByEndpoint.merge(
                    endpointId, endpointStats(endpointId, stats), LoadReportParser::sum);
        }
    }

    private static LoadReport.EndpointStats endpointStats(
            long endpointId, UpstreamEndpointStats stats) {
        double totalResponseMillis = 0;
        double loadSum = 0;
        long loadSamples = 0;
        for (EndpointLoadMetricStats metric : stats.getLoadMetricStatsList()) {
            if (metric.getMetricName().equals(UTILIZATION_METRIC)) {
                loadSum = metric.getTotalMetricValue();
                loadSamples = metric.getNumRequestsFinishedWithMetric();
            } else if (metric.getMetricName().equals(RESPONSE_TIME_METRIC)) {
                totalResponseMillis = metric.getTotalMetricValue();
            }
        }
        return new LoadReport.EndpointStats(
                endpointId,
                stats.getTotalIssuedRequests(),
                stats.getTotalSuccessfulRequests(),
                stats.getTotalErrorRequests(),
                totalResponseMillis,
                loadSum,
                loadSamples);
    }

    private static LoadReport.EndpointStats sum(
            LoadReport.EndpointStats first, LoadReport.EndpointStats second) {
        return new LoadReport.EndpointStats(
                first.endpointId(),
                first.issued() + second.issued(),
                first.completed() + second.completed(),
                first.failed() + second.failed(),
                first.totalResponseMillis() + second.totalResponseMillis(),
                first.loadSum() + second.loadSum(),
                first.loadSamples() + second.loadSamples());
    }
}
