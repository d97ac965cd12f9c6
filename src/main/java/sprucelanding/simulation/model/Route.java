package sprucelanding.simulation.model;

/**
 * Configured route of one request class at a proxy.
 *
 * @param cluster name of the routing table
 * @param admittedShare share of requests admitted, from 0 to 1
 * @param requestsPerSecond admitted rate; infinite for no limit
 * @param retry when the proxy retries a failed attempt
 */
public record Route(
        String cluster, double admittedShare, double requestsPerSecond, RetryMode retry) {
    /**
     * Condition under which a proxy retries a failed attempt: never, only with proof that the
     * request was not executed, or always. The names are those of the NETCONF configuration, in
     * upper case.
     */
    public enum RetryMode {
        NEVER,
        UNRUN,
        ANY
    }

    private static final int MAX_ATTEMPTS = 2;

    /** Time that must remain before the deadline for another attempt. */
    private static final double MIN_REMAINING_MILLIS = 10;

    /**
     * Returns whether a failed attempt is followed by another attempt. A proxy without a route
     * never retries.
     *
     * @param route route of the request class; null if there is none
     * @param attempts number of attempts so far
     * @param notExecuted whether there is proof that the request was not executed
     * @param remainingMillis ms until the client gives up the request
     */
    public static boolean shouldRetry(
            Route route, int attempts, boolean notExecuted, double remainingMillis) {
        return route != null
                && attempts < MAX_ATTEMPTS
                && remainingMillis > MIN_REMAINING_MILLIS
                && (route.retry == RetryMode.ANY || route.retry == RetryMode.UNRUN && notExecuted);
    }
}
