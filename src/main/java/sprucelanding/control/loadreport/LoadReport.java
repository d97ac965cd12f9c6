package sprucelanding.control.loadreport;

import java.util.List;

/**
 * What a proxy says it met since its last report.
 *
 * @param span ms that it covers, as the proxy measured them
 * @param came txns by product, declined ones included
 */
public record LoadReport(
        int proxyId,
        double spanMillis,
        List<EndpointStats> endpointStats,
        List<Long> requestsByClass) {
    /**
     * Tries at one replica.
     *
     * @param answerTime ms, summed over the settled ones
     * @param loads loads told in answers, summed
     * @param told how many answers told one
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
