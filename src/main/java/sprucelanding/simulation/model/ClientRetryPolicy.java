package sprucelanding.simulation.model;

/**
 * Policy by which clients retry a failed request. Idempotent requests are retried after any
 * failure, other requests only with proof that they were not executed.
 *
 * @param maxRetries number of retries after the first attempt
 * @param meanDelayMillis average delay before a retry, in ms
 */
public record ClientRetryPolicy(int maxRetries, double meanDelayMillis) {
    private static final double MIN_DELAY_FACTOR = 0.5;

    /**
     * Returns whether a failed attempt is followed by another attempt.
     *
     * @param attempts number of attempts so far
     * @param notExecuted whether there is proof that the request was not executed
     * @param elapsedMillis ms since the request was first sent
     * @param expiryMillis ms after which the client gives up the request
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

    /** Returns the ms until the next attempt, computed from a uniform draw in [0, 1). */
    public double delayMillis(double draw) {
        return meanDelayMillis * (MIN_DELAY_FACTOR + draw);
    }
}
