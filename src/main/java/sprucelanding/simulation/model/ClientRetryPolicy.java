package sprucelanding.simulation.model;

/**
 * When clients retry a failed request: an idempotent one after any failure, others only with proof
 * that it was not executed.
 *
 * @param maxRetries retries after the first attempt
 * @param meanDelayMillis ms before each retry, on average
 */
public record ClientRetryPolicy(int maxRetries, double meanDelayMillis) {
    private static final double MIN_DELAY_FACTOR = 0.5;

    /**
     * Whether a failed attempt is followed by another.
     *
     * @param attempts attempts so far
     * @param notExecuted there is proof that the request was not executed
     * @param elapsedMillis ms since the request was first sent
     * @param expiryMillis ms after which the client gives the request up
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

    /** The ms until the next attempt, from a uniform draw in [0, 1). */
    public double delayMillis(double draw) {
        return meanDelayMillis * (MIN_DELAY_FACTOR + draw);
    }
}
