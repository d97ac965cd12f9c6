package sprucelanding.simulation.model;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A proxy's admission by level: a share of a product's txns, or a rate with a second's worth of
 * burst. Times in ms.
 */
public final class AdmissionGate {
    private final Map<String, double[]> bucketsByClass = new HashMap<>();

    /** Whether one more txn is let in. */
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
        double[] bucket =
                bucketsByClass.computeIfAbsent(
                        requestClass, ignored -> new double[] {capacity, now});
        bucket[0] = Math.min(capacity, bucket[0] + (now - bucket[1]) * requestsPerSecond / 1000);
        bucket[1] = now;
        if (bucket[0] < 1) {
            return false;
        }
        bucket[0]--;
        return true;
    }
}
