package sprucelanding.control.loadreport;

/** Takes the sums of each period. */
public interface LoadReportSink {
    /**
     * Attempts at an endpoint that ended.
     *
     * @param endpointId the endpoint
     * @param attempts how many ended
     * @param failed how many of them failed
     * @param responseMillis mean response time of the completed ones, ms; 0 if there are none
     * @param load fraction of the endpoint's cores in use; NaN if it was not reported
     */
    void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load);

    /** Requests of a class that came to a proxy within a span of time, ms. */
    void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis);

    /** Something that operators want to know, with names and values of fields in turn. */
    void log(String event, Object... fields);
}
