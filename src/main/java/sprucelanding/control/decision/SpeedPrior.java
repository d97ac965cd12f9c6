package sprucelanding.control.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Prior estimate of an endpoint's speed, used until there is evidence from the endpoint itself. The
 * estimate is the endpoint's listed weight, corrected by the observed speed of warm endpoints of
 * the same machine kind. Without this correction, an endpoint of a slow machine kind would start at
 * the mean speed of all kinds and would be overloaded during its warm-up.
 */
final class SpeedPrior {
    /** Number of completed requests at a machine kind that counts as much as its listed weights. */
    private static final double LISTED_WEIGHT_EVIDENCE_REQUESTS = 30;

    /** Observed speed relative to the speed expected from the listed weights, by machine kind. */
    private final Map<Integer, Double> speedFactorByKind = new HashMap<>();

    private double meanListedWeight = 1;

    /** Sums over the warm endpoints of one machine kind. */
    private static final class KindTotals {
        private double completed;
        private double busyTime;
        private double listedWeight;
        private int endpointCount;

        void add(Endpoint endpoint) {
            completed += endpoint.stats().completed();
            busyTime += endpoint.stats().busyTime();
            listedWeight += endpoint.listedWeight();
            endpointCount++;
        }
    }

    /**
     * Updates the estimates from the current evidence. A machine kind without warm endpoints keeps
     * its last estimate.
     *
     * @param available the available endpoints, from which the mean listed weight is computed
     * @param warm the warm endpoints that have completed requests
     */
    void learn(Collection<Endpoint> available, Collection<Endpoint> warm) {
        meanListedWeight =
                available.stream().mapToDouble(Endpoint::listedWeight).average().orElse(1);
        Map<Integer, KindTotals> kinds = new HashMap<>();
        double completed = 0;
        double busyTime = 0;
        for (Endpoint endpoint : warm) {
            kinds.computeIfAbsent(endpoint.machineKind(), added -> new KindTotals()).add(endpoint);
            completed += endpoint.stats().completed();
            busyTime += endpoint.stats().busyTime();
        }
        if (busyTime <= 0) {
            return;
        }
        double meanSpeed = completed / busyTime;
        kinds.forEach((kind, totals) -> learn(kind, totals, meanSpeed));
    }

    private void learn(int kind, KindTotals totals, double meanSpeed) {
        double listedSpeed = totals.listedWeight / totals.endpointCount / meanListedWeight;
        double observedSpeed =
                totals.busyTime > 0 ? totals.completed / totals.busyTime / meanSpeed : listedSpeed;
        double estimatedSpeed =
                (totals.completed * observedSpeed + LISTED_WEIGHT_EVIDENCE_REQUESTS * listedSpeed)
                        / (totals.completed + LISTED_WEIGHT_EVIDENCE_REQUESTS);
        speedFactorByKind.put(kind, estimatedSpeed / listedSpeed);
    }

    /** Returns the expected speed of an endpoint; 1 is the mean of the available endpoints. */
    double expected(Endpoint endpoint) {
        double factor = speedFactorByKind.getOrDefault(endpoint.machineKind(), 1.0);
        return endpoint.listedWeight() / meanListedWeight * factor;
    }
}
