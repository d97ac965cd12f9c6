package sprucelanding.replay.estimate;

/**
 * Who sent a load report, and which time it covers.
 *
 * @param reporter the proxy that sent it
 * @param at when the governor received it, in ms
 * @param spanMillis how long before that its counts begin
 */
record ReportHeader(Reporter reporter, double at, double spanMillis) {
    private static final double MAX_SPAN_OF_OUTCOMES_MILLIS = 2 * TimeWindows.MILLIS;

    /** The time in ms at which the report's counts of demand are entered. */
    double demandAt() {
        return at - spanMillis / 2;
    }

    /** The time in ms at which the report's outcomes at endpoints are entered. */
    double outcomesAt() {
        return at - Math.min(spanMillis, MAX_SPAN_OF_OUTCOMES_MILLIS) / 2;
    }
}
