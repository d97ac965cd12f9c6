package sprucelanding.simulation.model;

/**
 * One product's route as a proxy was told: its table, the share or the rate let in, and when it
 * tries again.
 */
public record Route(
        String cluster, double admittedShare, double requestsPerSecond, RetryMode retry) {
    /**
     * When a try that failed is followed by another: never, only with proof that nothing ran, or
     * always.
     */
    public enum RetryMode {
        NEVER,
        UNRUN,
        ANY
    }

    private static final int MAX_ATTEMPTS = 2;
    private static final double MIN_REMAINING_MILLIS = 10; // ms that must be left for another try

    /**
     * Whether a try that failed is followed by another; a proxy that was told no route tries no
     * more.
     *
     * @param route null for none
     * @param unrun there is proof that nothing ran
     * @param left ms until the txn is given up
     */
    public static boolean shouldRetry(
            Route route, int attempts, boolean notExecuted, double remainingMillis) {
        return route != null
                && attempts < MAX_ATTEMPTS
                && remainingMillis > MIN_REMAINING_MILLIS
                && (route.retry == RetryMode.ANY || route.retry == RetryMode.UNRUN && notExecuted);
    }
}
