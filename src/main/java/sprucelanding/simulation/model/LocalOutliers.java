package sprucelanding.simulation.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Replicas at which a proxy's own tries failed several times in a row, and which it keeps away from
 * for a while.
 */
public final class LocalOutliers<K> {
    private final int failureThreshold;
    private final double durationMillis;
    private final Map<K, Integer> consecutiveFailures = new HashMap<>();
    private final Map<K, Double> avoidedUntil = new HashMap<>();

    /**
     * @param after failures in a row; 0: never
     * @param lasts ms
     */
    public LocalOutliers(int after, double durationMillis) {
        this.failureThreshold = after;
        this.durationMillis = durationMillis;
    }

    public boolean isAvoided(K endpoint, double now) {
        Double end = avoidedUntil.get(endpoint);
        return end != null && now < end;
    }

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
