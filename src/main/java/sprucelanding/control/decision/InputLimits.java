package sprucelanding.control.decision;

/**
 * Ranges of the figures that events bring into the decisions. Every figure is checked here before
 * it enters the state, so that each sum, mean and quotient of the decisions is finite. The ranges
 * are far wider than any figure of a working fleet.
 */
final class InputLimits {
    /** Shortest interval that a demand report may cover. */
    static final double MIN_REPORT_INTERVAL_MS = 1;

    /** Largest demand at one proxy for one request class; a higher rate limits no proxy. */
    static final double MAX_REQUESTS_PER_S = AdmissionController.UNLIMITED_REQUESTS_PER_S;

    /** Longest response time that a load report may give. */
    static final double MAX_RESPONSE_TIME_MS = 1e7;

    /**
     * Demand below which a proxy counts as idle. A mean that only decays would become denormal, and
     * quotients of denormal numbers may be infinite.
     */
    private static final double MIN_REQUESTS_PER_S = 1e-200;

    /** Range of listed weights, which are relative to one another. */
    private static final double MIN_LISTED_WEIGHT = 1e-6;

    private static final double MAX_LISTED_WEIGHT = 1e6;

    /** The listed weight of an endpoint whose list entry has none in range. */
    private static final double DEFAULT_LISTED_WEIGHT = 1;

    /** The start time of an endpoint that started long ago. */
    private static final double STARTED_LONG_AGO = 0;

    private InputLimits() {}

    /** Returns whether a demand report is in range, so that its rate is finite. */
    static boolean isDemandReport(int count, double intervalMs) {
        return count >= 0
                && intervalMs >= MIN_REPORT_INTERVAL_MS
                && intervalMs < Double.POSITIVE_INFINITY
                && count / intervalMs * 1000 <= MAX_REQUESTS_PER_S;
    }

    /** Returns a response time, ms, limited to its range; 0 for NaN. */
    static double limitedResponseTime(double responseTimeMs) {
        return responseTimeMs >= 0 ? Math.min(responseTimeMs, MAX_RESPONSE_TIME_MS) : 0;
    }

    /** Returns a demand, requests per second, limited to its range; 0 for NaN. */
    static double limitedDemand(double requestsPerSecond) {
        return requestsPerSecond >= MIN_REQUESTS_PER_S
                ? Math.min(requestsPerSecond, MAX_REQUESTS_PER_S)
                : 0;
    }

    /** Returns a listed weight; the default weight if it is out of range. */
    static double listedWeightOrDefault(double weight) {
        return weight >= MIN_LISTED_WEIGHT && weight <= MAX_LISTED_WEIGHT
                ? weight
                : DEFAULT_LISTED_WEIGHT;
    }

    /** Returns a start time, ms; 0, which means long ago, if it is negative or not finite. */
    static double startTimeOrLongAgo(double startedAt) {
        return startedAt > 0 && startedAt < Double.POSITIVE_INFINITY ? startedAt : STARTED_LONG_AGO;
    }
}
