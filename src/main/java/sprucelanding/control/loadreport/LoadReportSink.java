package sprucelanding.control.loadreport;

/** Where the sums of a period go. */
public interface LoadReportSink {
    /** Tries at a replica; answer time in ms, load a share of its cores or NaN if none was told. */
    void endpointStatsReported(
            long endpointId, int attempts, int failed, double responseMillis, double load);

    /** Txns of a product that came to a proxy within a span of ms. */
    void demandReported(int proxyId, int requestClass, int requestCount, double spanMillis);

    void log(String event, Object... fields);
}
