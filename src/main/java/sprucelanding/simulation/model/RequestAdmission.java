package sprucelanding.simulation.model;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Admission of requests at a proxy: by a share of a request class, or by a rate. The rate is
 * limited by a token bucket that holds the tokens of one second.
 */
public final class RequestAdmission {
    private static final double MILLIS_PER_SECOND = 1000;

    private final Map<String, TokenBucket> bucketsByClass = new HashMap<>();

    /**
     * Token bucket. The caller passes the capacity on each call because the capacity depends on the
     * current rate.
     */
    private static final class TokenBucket {
        private double tokens;
        private double refilledAt;

        TokenBucket(double tokens, double now) {
            this.tokens = tokens;
            this.refilledAt = now;
        }

        boolean tryTake(double tokensPerSecond, double capacity, double now) {
            tokens =
                    Math.min(
                            capacity,
                            tokens + (now - refilledAt) * tokensPerSecond / MILLIS_PER_SECOND);
            refilledAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    /**
     * Returns whether one more request is admitted. Draws once from {@code random} if there is a
     * route.
     *
     * @param route route of the request class; null to admit every request
     * @param now current time in ms
     */
    public boolean admits(String requestClass, Route route, double now, SplittableRandom random) {
        return route == null
                || random.nextDouble() < route.admittedShare()
                        && tryTakeToken(requestClass, route.requestsPerSecond(), now);
    }

    private boolean tryTakeToken(String requestClass, double requestsPerSecond, double now) {
        if (Double.isInfinite(requestsPerSecond)) {
            return true;
        }
        double capacity = Math.max(1, requestsPerSecond);
        TokenBucket bucket =
                bucketsByClass.computeIfAbsent(
                        requestClass, ignored -> new TokenBucket(capacity, now));
        return bucket.tryTake(requestsPerSecond, capacity, now);
    }
}
