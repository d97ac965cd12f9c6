package sprucelanding.standin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** What a proxy goes by: standing lines until it was told more, then clusters, their lines, and routes by product. */
final class Tables {
    enum Pick { WEIGHTED, ROUND, TWO }

    final List<Line> standing = new ArrayList<>();
    /** Lines by cluster and resource name; a cluster without lines is known too. */
    final Map<String, Map<String, Line>> clusters = new LinkedHashMap<>();
    /** Versions told for clusters, endpoints and routes. */
    final Map<String, String> versions = new HashMap<>();
    Map<String, Route> routes = Map.of();

    Collection<Line> lines(String product) {
        Route r = routes.get(product);
        if (r == null) {
            return routes.isEmpty() ? standing : List.of();
        }
        return clusters.getOrDefault(r.cluster(), Map.of()).values();
    }

    int pickable(String product) {
        int n = 0;
        for (Line line : lines(product)) {
            n += line.healthy ? 1 : 0;
        }
        return n;
    }

    /** A line, none of those that are avoided unless there are no others; null if there is none at all. */
    Line pick(String product, Pick how, Predicate<Line> avoided, ToIntFunction<Line> open, SplittableRandom chance) {
        List<Line> all = lines(product).stream().filter(l -> l.healthy).toList();
        List<Line> free = all.stream().filter(l -> !avoided.test(l)).toList();
        List<Line> from = free.isEmpty() ? all : free;
        if (from.isEmpty()) {
            return null;
        }
        double sum = from.stream().mapToDouble(l -> l.weight).sum();
        switch (how) {
            case WEIGHTED:
                return drawn(from, sum, chance);
            case TWO:
                Line a = drawn(from, sum, chance);
                Line b = drawn(from, sum, chance);
                return open.applyAsInt(a) <= open.applyAsInt(b) ? a : b;
            default: // smooth weighted round robin
                Line best = null;
                for (Line l : from) {
                    l.credit += l.weight;
                    best = best == null || l.credit > best.credit ? l : best;
                }
                best.credit -= sum;
                return best;
        }
    }

    private static Line drawn(List<Line> from, double sum, SplittableRandom chance) {
        double x = chance.nextDouble() * sum;
        for (Line l : from) {
            x -= l.weight;
            if (x < 0) {
                return l;
            }
        }
        return from.get(from.size() - 1);
    }
}
