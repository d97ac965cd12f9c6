package sprucelanding.replay.estimate;

/**
 * The header of a load report. The report covers the span before its arrival.
 *
 * @param proxy the proxy that sent the report
 * @param at time at which the governor received the report, in ms on the governor's clock
 * @param spanMillis length of the span that the report covers
 */
record ReportHeader(ProxyKey proxy, double at, double spanMillis) {
    private static final double MAX_OUTCOME_SPAN_MILLIS = 2 * TimeWindows.WINDOW_MILLIS;

    /** Returns the time in ms that the report's demand is attributed to. */
    double demandAt() {
        return at - spanMillis / 2;
    }

    /** Returns the time in ms that the report's outcomes at endpoints are attributed to. */
    double outcomesAt() {
        return at - Math.min(spanMillis, MAX_OUTCOME_SPAN_MILLIS) / 2;
    }
}
