package sprucelanding.simulation.model;

/**
 * The route of one request class as a proxy was configured.
 *
 * @param cluster the name of its table
 * @param admittedShare share of requests admitted, from 0 to 1
 * @param requestsPerSecond rate admitted; infinite for no limit
 * @param retry when the proxy retries
 */
public record Route(
        String cluster, double admittedShare, double requestsPerSecond, RetryMode retry) {
    /**
     * When a proxy retries a failed attempt: never, only with proof that the request was not
     * executed, or always. The names are those of the NETCONF configuration, in upper case.
     */
    public enum RetryMode {
        NEVER,
        UNRUN,
        ANY
    }

    private static final int MAX_ATTEMPTS = 2;

    /** The ms that must remain for another attempt. */
    private static final double MIN_REMAINING_MILLIS = 10;

    /**
     * Whether a failed attempt is followed by another; a proxy without a route never retries.
     *
     * @param route null for none
     * @param attempts attempts so far
     * @param notExecuted there is proof that the request was not executed
     * @param remainingMillis ms until the request is given up
     */
    public static boolean shouldRetry(
            Route route, int attempts, boolean notExecuted, double remainingMillis) {
        return route != null
                && attempts < MAX_ATTEMPTS
                && remainingMillis > MIN_REMAINING_MILLIS
                && (route.retry == RetryMode.ANY || route.retry == RetryMode.UNRUN && notExecuted);
    }
}
