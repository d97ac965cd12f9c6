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
 * Routing tables of a proxy. A proxy without a configuration has static entries; a configured proxy
 * has clusters with entries, and routes by request class. The owner of the tables fills them
 * through the public collections.
 *
 * @param <K> type that identifies an endpoint
 */
public final class ProxyTables<K> {
    /**
     * Algorithm by which a proxy picks an entry: weighted random, smooth weighted round robin, or
     * the less busy of two weighted random picks.
     */
    public enum Pick {
        WEIGHTED,
        ROUND,
        TWO
    }

    /** Entries of a proxy that has no routes. */
    public final List<WeightedEndpoint<K>> staticEntries = new ArrayList<>();

    /** Entries by cluster and resource name; a cluster may have none. */
    public final Map<String, Map<String, WeightedEndpoint<K>>> clusters = new LinkedHashMap<>();

    /** Versions of the received clusters, assignments and routes, by type and name. */
    public final Map<String, String> versions = new HashMap<>();

    /** Routes by request class. The map is replaced as a whole. */
    public Map<String, Route> routes = Map.of();

    /** Number of draws by cached weights after which a pick examines every entry instead. */
    private static final int MAX_CACHED_WEIGHT_DRAWS = 8;

    /**
     * Healthy entries, and for each entry the sum of the weights up to and including that entry.
     */
    private record CumulativeWeights<K>(
            List<WeightedEndpoint<K>> entries, double[] cumulativeSums) {}

    private Map<String, CumulativeWeights<K>> weightsByClass = Map.of();

    /**
     * Caches the weights by request class. Callers that pick far more often than the tables change
     * call this method after each change. Without cached weights every pick examines every entry.
     */
    public void rebuildWeights() {
        Map<String, CumulativeWeights<K>> rebuilt = new HashMap<>();
        Map<String, CumulativeWeights<K>> byCluster = new HashMap<>();
        routes.forEach(
                (requestClass, route) ->
                        rebuilt.put(
                                requestClass,
                                byCluster.computeIfAbsent(
                                        route.cluster(), this::cumulativeWeights)));
        weightsByClass = rebuilt;
    }

    private CumulativeWeights<K> cumulativeWeights(String cluster) {
        List<WeightedEndpoint<K>> healthy =
                clusters.getOrDefault(cluster, Map.of()).values().stream()
                        .filter(entry -> entry.healthy)
                        .toList();
        double[] cumulativeSums = new double[healthy.size()];
        double total = 0;
        for (int i = 0; i < cumulativeSums.length; i++) {
            total += healthy.get(i).weight;
            cumulativeSums[i] = total;
        }
        return new CumulativeWeights<>(healthy, cumulativeSums);
    }

    /**
     * Returns the entries of a request class, or the static entries if there are no routes at all.
     */
    public Collection<WeightedEndpoint<K>> entries(String requestClass) {
        Route route = routes.get(requestClass);
        if (route == null) {
            return routes.isEmpty() ? staticEntries : List.of();
        }
        return clusters.getOrDefault(route.cluster(), Map.of()).values();
    }

    /** Returns the number of healthy entries of a request class. */
    public int healthyEntryCount(String requestClass) {
        int count = 0;
        for (WeightedEndpoint<K> entry : entries(requestClass)) {
            count += entry.healthy ? 1 : 0;
        }
        return count;
    }

    /**
     * Picks a healthy entry. An avoided entry is picked only if there is no other healthy entry.
     *
     * @param openAttempts gives the number of attempts in flight at an entry's endpoint
     * @return the picked entry; null if there is no healthy entry
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
                return lessBusy(first, second, openAttempts);
            }
        }
        List<WeightedEndpoint<K>> candidates = candidates(requestClass, avoided);
        if (candidates.isEmpty()) {
            candidates = candidates(requestClass, ignored -> false);
        }
        if (candidates.isEmpty()) {
            return null;
        }
        double total = 0;
        for (WeightedEndpoint<K> entry : candidates) {
            total += entry.weight;
        }
        return switch (pick) {
            case WEIGHTED -> pickByWeight(candidates, total, random);
            case TWO -> {
                WeightedEndpoint<K> first = pickByWeight(candidates, total, random);
                WeightedEndpoint<K> second = pickByWeight(candidates, total, random);
                yield lessBusy(first, second, openAttempts);
            }
            case ROUND -> pickRoundRobin(candidates, total);
        };
    }

    /**
     * Draws an entry by weight until the entry is not to be avoided; returns null if a few draws
     * gave only avoided entries.
     */
    private WeightedEndpoint<K> pickFromWeights(
            CumulativeWeights<K> weights,
            Predicate<WeightedEndpoint<K>> avoided,
            SplittableRandom random) {
        int count = weights.cumulativeSums.length;
        for (int i = 0; count > 0 && i < MAX_CACHED_WEIGHT_DRAWS; i++) {
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

    private List<WeightedEndpoint<K>> candidates(
            String requestClass, Predicate<WeightedEndpoint<K>> avoided) {
        List<WeightedEndpoint<K>> candidates = new ArrayList<>();
        for (WeightedEndpoint<K> entry : entries(requestClass)) {
            if (entry.healthy && !avoided.test(entry)) {
                candidates.add(entry);
            }
        }
        return candidates;
    }

    private static <K> WeightedEndpoint<K> lessBusy(
            WeightedEndpoint<K> first,
            WeightedEndpoint<K> second,
            ToIntFunction<WeightedEndpoint<K>> openAttempts) {
        return openAttempts.applyAsInt(first) <= openAttempts.applyAsInt(second) ? first : second;
    }

    private static <K> WeightedEndpoint<K> pickRoundRobin(
            List<WeightedEndpoint<K>> candidates, double total) {
        WeightedEndpoint<K> best = null;
        for (WeightedEndpoint<K> entry : candidates) {
            entry.credit += entry.weight;
            best = best == null || entry.credit > best.credit ? entry : best;
        }
        best.credit -= total;
        return best;
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
