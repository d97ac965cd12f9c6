package sprucelanding.simulation.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * What a proxy goes by: standing lines until it was told more, then clusters, their lines, and
 * routes by product.
 */
public final class ProxyTables<K> {
    /** How a proxy picks: by weight alone, in turn, or the less busy of two. */
    public enum Pick {
        WEIGHTED,
        ROUND,
        TWO
    }

    public final List<WeightedEndpoint<K>> staticEntries = new ArrayList<>();

    /** Lines by cluster and resource name; a cluster without lines is known too. */
    public final Map<String, Map<String, WeightedEndpoint<K>>> clusters = new LinkedHashMap<>();

    /** Versions told for clusters, endpoints and routes. */
    public final Map<String, String> versions = new HashMap<>();

    public Map<String, Route> routes = Map.of();

    private static final int MAX_DRAWS = 8;

    /** Lines that may be picked, with the sums of their weights up to each. */
    private record CumulativeWeights<K>(
            List<WeightedEndpoint<K>> entries, double[] cumulativeSums) {}

    private Map<String, CumulativeWeights<K>> weightsByClass = Map.of();

    /**
     * To be called after changes by those who pick far more often than tables change; else picks
     * look at every line.
     */
    public void rebuildWeights() {
        Map<String, CumulativeWeights<K>> rebuilt = new HashMap<>();
        Map<String, CumulativeWeights<K>> byCluster = new HashMap<>();
        routes.forEach(
                (requestClass, route) ->
                        rebuilt.put(
                                requestClass,
                                byCluster.computeIfAbsent(
                                        route.cluster(),
                                        cluster -> {
                                            List<WeightedEndpoint<K>> healthy =
                                                    clusters
                                                            .getOrDefault(cluster, Map.of())
                                                            .values()
                                                            .stream()
                                                            .filter(entry -> entry.healthy)
                                                            .toList();
                                            double[] cumulativeSums = new double[healthy.size()];
                                            double total = 0;
                                            for (int i = 0; i < cumulativeSums.length; i++) {
                                                total += healthy.get(i).weight;
                                                cumulativeSums[i] = total;
                                            }
                                            return new CumulativeWeights<>(healthy, cumulativeSums);
                                        })));
        weightsByClass = rebuilt;
    }

    /** One that is not avoided, drawn by weight; null if none came up in a few draws. */
    private WeightedEndpoint<K> pickFromWeights(
            CumulativeWeights<K> weights,
            Predicate<WeightedEndpoint<K>> avoided,
            SplittableRandom random) {
        int count = weights.cumulativeSums.length;
        for (int i = 0; count > 0 && i < MAX_DRAWS; i++) {
            int index =
                    Arrays.binarySearch(
                            weights.cumulativeSums,
                            random.nextDouble() * weights.cumulativeSums[count - 1]);
            WeightedEndpoint<K> entry =
                    weights.entries.get(Math.min(count - 1, index < 0 ? -index - 1 : index + 1));
            if (!avoided.test(entry)) {
                return entry;
            }
        }
        return null;
    }

    public Collection<WeightedEndpoint<K>> entries(String requestClass) {
        Route route = routes.get(requestClass);
        if (route == null) {
            return routes.isEmpty() ? staticEntries : List.of();
        }
        return clusters.getOrDefault(route.cluster(), Map.of()).values();
    }

    public int pickableCount(String requestClass) {
        int count = 0;
        for (WeightedEndpoint<K> entry : entries(requestClass)) {
            count += entry.healthy ? 1 : 0;
        }
        return count;
    }

    /**
     * A line, none of those that are avoided unless there are no others; null if there is none at
     * all.
     */
    public WeightedEndpoint<K> pick(
            String requestClass,
            Pick pick,
            Predicate<WeightedEndpoint<K>> avoided,
            ToIntFunction<WeightedEndpoint<K>> openAttempts,
            SplittableRandom random) {
        CumulativeWeights<K> weights = pick == Pick.ROUND ? null : weightsByClass.get(requestClass);
        if (weights != null) {
            WeightedEndpoint<K> first = pickFromWeights(weights, avoided, random);
            WeightedEndpoint<K> second =
                    first == null || pick == Pick.WEIGHTED
                            ? first
                            : pickFromWeights(weights, avoided, random);
            if (second != null) {
                return openAttempts.applyAsInt(first) <= openAttempts.applyAsInt(second)
                        ? first
                        : second;
            }
        }
        List<WeightedEndpoint<K>> candidates = new ArrayList<>();
        double total = 0;
        for (WeightedEndpoint<K> entry : entries(requestClass)) {
            if (entry.healthy && !avoided.test(entry)) {
                candidates.add(entry);
                total += entry.weight;
            }
        }
        if (candidates.isEmpty()) {
            for (WeightedEndpoint<K> entry : entries(requestClass)) {
                if (entry.healthy) {
                    candidates.add(entry);
                    total += entry.weight;
                }
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        switch (pick) {
            case WEIGHTED:
                return pickByWeight(candidates, total, random);
            case TWO:
                WeightedEndpoint<K> first = pickByWeight(candidates, total, random);
                WeightedEndpoint<K> second = pickByWeight(candidates, total, random);
                return openAttempts.applyAsInt(first) <= openAttempts.applyAsInt(second)
                        ? first
                        : second;
            default: // smooth weighted round robin
                WeightedEndpoint<K> best = null;
                for (WeightedEndpoint<K> entry : candidates) {
                    entry.credit += entry.weight;
                    best = best == null || entry.credit > best.credit ? entry : best;
                }
                best.credit -= total;
                return best;
        }
    }

    private static <K> WeightedEndpoint<K> pickByWeight(
            List<WeightedEndpoint<K>> candidates, double total, SplittableRandom random) {
        double remainingWeight = random.nextDouble() * total;
        for (WeightedEndpoint<K> entry : candidates) {
            remainingWeight -= entry.weight;
            if (remainingWeight < 0) {
                return entry;
            }
        }
        return candidates.get(candidates.size() - 1);
    }
}
