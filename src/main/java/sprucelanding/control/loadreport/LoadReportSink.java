package sprucelanding.control.loadreport;

/** A receiver of the totals that a {@link LoadReportAggregator} passes on once a period. */
public interface LoadReportSink {
    /**
     * Reports the attempts at an endpoint that have ended.
     *
     * @param endpointId number of the endpoint
     * @param attempts number of attempts that ended
     * @param failed number of those attempts that failed
     * @param responseMillis mean response time of the completed attempts, ms; 0 if none completed
     * @param load fraction of the endpoint's cores in use; NaN if no load was reported
     */
    void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load);

    /** Reports how many requests of a class a proxy received within a time span, in ms. */
    void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis);

    /** Logs an event for operators. The fields are alternating names and values. */
    void log(String event, Object... fields);
}
