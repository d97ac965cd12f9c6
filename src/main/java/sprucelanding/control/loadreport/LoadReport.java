package sprucelanding.control.loadreport;

import java.util.List;

/**
 * A proxy's report on the time since its previous report.
 *
 * @param proxyId number of the proxy
 * @param spanMillis time span that the report covers, ms, as the proxy measured it
 * @param endpointStats attempts, one element for each endpoint
 * @param requestsByClass number of requests that the proxy received, rejected ones included, by
 *     index of the request class
 */
public record LoadReport(
        int proxyId,
        double spanMillis,
        List<EndpointStats> endpointStats,
        List<Long> requestsByClass) {
    /**
     * Statistics of the attempts at one endpoint.
     *
     * @param endpointId number of the endpoint
     * @param issued number of attempts that began
     * @param completed number of attempts that ended with a response
     * @param failed number of attempts that ended without a usable response
     * @param totalResponseMillis sum of the response times of the completed attempts, ms
     * @param loadSum sum of the loads that responses reported
     * @param loadSamples number of responses that reported a load
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
