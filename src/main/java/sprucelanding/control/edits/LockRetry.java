package sprucelanding.control.edits;

import java.util.OptionalDouble;

/**
 * Retry of a lock that another session holds, with exponential backoff up to a maximum and an
 * overall timeout. Times are ms on the host's clock.
 */
final class LockRetry {
    private static final double INITIAL_BACKOFF_MILLIS = 100;
    private static final double MAX_BACKOFF_MILLIS = 1600;
    private static final double BACKOFF_FACTOR = 2;

    private final double timeoutMillis;
    private OptionalDouble deniedSince = OptionalDouble.empty();
    private double nextAttemptAt;
    private double backoffMillis = INITIAL_BACKOFF_MILLIS;

    /**
     * Creates a retry without a denial.
     *
     * @param timeoutMillis time after which the lock is given up, in ms
     */
    LockRetry(double timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Handles a new session. The timeout starts again, but the backoff continues from its current
     * value.
     */
    void sessionOpened() {
        deniedSince = OptionalDouble.empty();
    }

    /** Resets the timeout and the backoff after the lock was acquired. */
    void acquired() {
        deniedSince = OptionalDouble.empty();
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    /**
     * Handles a denial of the lock.
     *
     * @return time since the first denial, in ms
     */
    double denied(double now) {
        if (deniedSince.isEmpty()) {
            deniedSince = OptionalDouble.of(now);
        }
        return now - deniedSince.getAsDouble();
    }

    boolean isTimedOut(double deniedMillis) {
        return deniedMillis > timeoutMillis;
    }

    /**
     * Returns whether the backoff is at its initial value, so that the current denial is the first
     * one.
     */
    boolean isFirstDenial() {
        return backoffMillis == INITIAL_BACKOFF_MILLIS;
    }

    void scheduleNextAttempt(double now) {
        nextAttemptAt = now + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, BACKOFF_FACTOR * backoffMillis);
    }

    /** Returns the time of the next attempt; empty if the lock was not denied. */
    OptionalDouble nextAttemptAt() {
        return deniedSince.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(nextAttemptAt);
    }

    boolean isWaiting(double now) {
        return deniedSince.isPresent() && now < nextAttemptAt;
    }
}
