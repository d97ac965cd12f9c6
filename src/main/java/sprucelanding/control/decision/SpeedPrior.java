package sprucelanding.control.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What is expected of an endpoint's speed before its own evidence counts: its listed weight,
 * corrected by what warm endpoints of its machine kind have shown. Without it an endpoint of a slow
 * kind comes in at the mean of all kinds, and one that is warming up is overloaded.
 */
final class SpeedPrior {
    /** Completed requests at a kind that count for as much as its listed weights. */
    private static final double LISTED_WEIGHT_EVIDENCE = 30;

    /** By machine kind, how many times faster it is than its listed weights tell; 1 is the mean. */
    private final Map<Integer, Double> speedFactorByKind = new HashMap<>();

    private double meanListedWeight = 1;

    /** Sums over the warm endpoints of a kind. */
    private static final class KindTotals {
        private double completed;
        private double busyTime;
        private double listedWeight;
        private int endpoints;

        void add(Endpoint endpoint) {
            completed += endpoint.stats().completed();
            busyTime += endpoint.stats().busyTime();
            listedWeight += endpoint.listedWeight();
            endpoints++;
        }
    }

    /**
     * Learns from the present evidence. A kind without warm endpoints keeps what it has shown
     * before.
     *
     * @param available the endpoints on the list, whose weights are compared
     * @param warm those that are warm and have completed requests
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
        double stated = totals.listedWeight / totals.endpoints / meanListedWeight;
        double shown =
                totals.busyTime > 0 ? totals.completed / totals.busyTime / meanSpeed : stated;
        double believed =
                (totals.completed * shown + LISTED_WEIGHT_EVIDENCE * stated)
                        / (totals.completed + LISTED_WEIGHT_EVIDENCE);
        speedFactorByKind.put(kind, believed / stated);
    }

    /** The speed that is expected; 1 is the mean of the endpoints on the list. */
    double expected(Endpoint endpoint) {
        double factor = speedFactorByKind.getOrDefault(endpoint.machineKind(), 1.0);
        return endpoint.listedWeight() / meanListedWeight * factor;
    }
}
