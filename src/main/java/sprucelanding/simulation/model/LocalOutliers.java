package sprucelanding.simulation.model;

import java.util.HashMap;
import java.util.Map;

/**
 * A proxy's own outlier detection: endpoints at which its attempts failed several times in a row
 * are avoided for a while.
 *
 * @param <K> identifies an endpoint
 */
public final class LocalOutliers<K> {
    private final int failureThreshold;
    private final double durationMillis;
    private final Map<K, Integer> consecutiveFailures = new HashMap<>();
    private final Map<K, Double> avoidedUntil = new HashMap<>();

    /**
     * Creates a detector that avoids no endpoint yet.
     *
     * @param failureThreshold failures in a row after which an endpoint is avoided; 0: never
     * @param durationMillis ms for which it is avoided
     */
    public LocalOutliers(int failureThreshold, double durationMillis) {
        this.failureThreshold = failureThreshold;
        this.durationMillis = durationMillis;
    }

    /** Whether an endpoint is avoided at this time. */
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
