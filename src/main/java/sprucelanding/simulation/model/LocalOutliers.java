package sprucelanding.simulation.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Outlier detection within one proxy. An endpoint at which several attempts of the proxy in a row
 * failed is avoided for a set time.
 *
 * @param <K> type that identifies an endpoint
 */
public final class LocalOutliers<K> {
    private final int failureThreshold;
    private final double durationMillis;
    private final Map<K, Integer> consecutiveFailures = new HashMap<>();
    private final Map<K, Double> avoidedUntil = new HashMap<>();

    /**
     * Creates a detector that avoids no endpoint yet.
     *
     * @param failureThreshold consecutive failures after which an endpoint is avoided; 0 to avoid
     *     none
     * @param durationMillis ms for which an endpoint is avoided
     */
    public LocalOutliers(int failureThreshold, double durationMillis) {
        this.failureThreshold = failureThreshold;
        this.durationMillis = durationMillis;
    }

    /** Returns whether an endpoint is avoided at this time. */
    public boolean isAvoided(K endpoint, double now) {
        Double end = avoidedUntil.get(endpoint);
        return end != null && now < end;
    }

    /** Counts the result of an attempt that ended at this time. */
    public void attemptEnded(K endpoint, boolean succeeded, double now) {
        if (succeeded) {
            consecutiveFailures.remove(endpoint);
            return;
        }
        int failed = consecutiveFailures.merge(endpoint, 1, Integer::sum);
        if (failureThreshold > 0 && failed >= failureThreshold) {
            consecutiveFailures.remove(endpoint);
            avoidedUntil.put(endpoint, now + durationMillis);
        }
    }
}
