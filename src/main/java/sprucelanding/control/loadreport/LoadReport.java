package sprucelanding.control.loadreport;

import java.util.List;

/**
 * What a proxy reports of the time since its previous report.
 *
 * @param proxyId the proxy
 * @param spanMillis time that it covers, ms, as the proxy measured it
 * @param endpointStats attempts by endpoint
 * @param requestsByClass requests that came in, by request class, rejected ones included
 */
public record LoadReport(
        int proxyId,
        double spanMillis,
        List<EndpointStats> endpointStats,
        List<Long> requestsByClass) {
    /**
     * Attempts at one endpoint.
     *
     * @param endpointId the endpoint
     * @param issued attempts that began
     * @param completed attempts that ended with a response
     * @param failed attempts that ended without a usable one
     * @param totalResponseMillis response times of the completed ones, ms, summed up
     * @param loadSum loads that responses reported, summed up
     * @param loadSamples how many responses reported a load
     */
    public record EndpointStats(
            long endpointId,
            long issued,
            long completed,
            long failed,
            double totalResponseMillis,
            double loadSum,
            long loadSamples) {}
}
