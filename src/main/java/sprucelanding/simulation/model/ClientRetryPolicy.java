package sprucelanding.simulation.model;

/**
 * How clients try again by themselves: a safe txn after any failure, others only with proof that
 * nothing ran.
 *
 * @param most times after the first
 * @param pause ms before each, on average
 */
public record ClientRetryPolicy(int maxRetries, double meanDelayMillis) {
    /**
     * @param took ms since the txn was first asked for
     */
    public boolean shouldRetry(
            int attempts,
            boolean idempotent,
            boolean notExecuted,
            double elapsedMillis,
            double expiryMillis) {
        return attempts <= maxRetries
                && (idempotent || notExecuted)
                && elapsedMillis + meanDelayMillis < expiryMillis;
    }

    /** ms until the next, by a draw from 0 to 1. */
    public double delayMillis(double drawn) {
        return meanDelayMillis * (0.5 + drawn);
    }
}
