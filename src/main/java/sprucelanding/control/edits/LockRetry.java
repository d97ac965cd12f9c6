package sprucelanding.control.edits;

import java.util.OptionalDouble;

/**
 * When to ask again for a lock that somebody else holds: with exponential backoff, up to a limit.
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
     * @param timeoutMillis ms after which a lock is given up
     */
    LockRetry(double timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /** A new session begins; the backoff goes on from where it was. */
    void sessionOpened() {
        deniedSince = OptionalDouble.empty();
    }

    void acquired() {
        deniedSince = OptionalDouble.empty();
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    /**
     * The lock was denied.
     *
     * @return ms since it was denied first
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

    /** Whether the next attempt will be the first again. */
    boolean isFirstAttempt() {
        return backoffMillis == INITIAL_BACKOFF_MILLIS;
    }

    void scheduleNextAttempt(double now) {
        nextAttemptAt = now + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, BACKOFF_FACTOR * backoffMillis);
    }

    /** When to try again, ms on the host's clock; empty if the lock was not denied. */
    OptionalDouble nextAttemptAt() {
        return deniedSince.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(nextAttemptAt);
    }

    boolean isWaiting(double now) {
        return deniedSince.isPresent() && now < nextAttemptAt;
    }
}
