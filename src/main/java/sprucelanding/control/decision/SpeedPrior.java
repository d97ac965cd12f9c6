package sprucelanding.control.decision;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What is expected of a server's speed before its own evidence counts: its listed weight, corrected
 * by what warm servers of its machine kind have shown. Without it a server of a slow kind comes in
 * at the mean of all kinds, and a cold one is pushed over.
 */
final class SpeedPrior {
    /** Settled tries at a kind that count for as much as its listed weights. */
    private static final double LISTED_WEIGHT_EVIDENCE = 30;

    /** By machine kind, how many times faster it is than its listed weights tell; 1 is the mean. */
    private final Map<Integer, Double> speedFactorByKind = new HashMap<>();

    private double meanListedWeight = 1;

    /** Sums over the warm servers of a kind. */
    private static final class KindTotals {
        double completed;
        double busyTime;
        double listedWeight;
        int endpoints;
    }

    /**
     * Learns from the present evidence. A kind without warm servers keeps what it has shown before.
     *
     * @param listed the servers on the list, whose weights are compared
     * @param warm those that are warm and have settled tries
     */
    void learn(Collection<Endpoint> listed, Collection<Endpoint> warm) {
        meanListedWeight =
                listed.stream().mapToDouble(endpoint -> endpoint.listedWeight).average().orElse(1);
        Map<Integer, KindTotals> kinds = new HashMap<>();
        double completed = 0;
        double busy = 0;
        for (Endpoint endpoint : warm) {
            KindTotals kind = kinds.computeIfAbsent(endpoint.kind, x -> new KindTotals());
            kind.completed += endpoint.completed;
            kind.busyTime += endpoint.busyTime;
            kind.listedWeight += endpoint.listedWeight;
            kind.endpoints++;
            completed += endpoint.completed;
            busy += endpoint.busyTime;
        }
        if (busy <= 0) {
            return;
        }
        double mean = completed / busy;
        kinds.forEach(
                (number, kind) -> {
                    double stated = kind.listedWeight / kind.endpoints / meanListedWeight;
                    double shown =
                            kind.busyTime > 0 ? kind.completed / kind.busyTime / mean : stated;
                    double believed =
                            (kind.completed * shown + LISTED_WEIGHT_EVIDENCE * stated)
                                    / (kind.completed + LISTED_WEIGHT_EVIDENCE);
                    speedFactorByKind.put(number, believed / stated);
                });
    }

    /** The speed that is expected; 1 is the mean of the servers on the list. */
    double expected(Endpoint endpoint) {
        return endpoint.listedWeight
                / meanListedWeight
                * speedFactorByKind.getOrDefault(endpoint.kind, 1.0);
    }
}
