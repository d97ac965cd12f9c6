package sprucelanding.simulation.model;

import java.util.SplittableRandom;
import java.util.function.ToIntFunction;

/**
 * Selects the endpoint of each attempt of a proxy: from its tables, but never the endpoint at which
 * the request's previous attempt failed, and none of its local outliers as long as there are
 * others.
 *
 * @param <K> identifies an endpoint
 */
public final class EndpointSelector<K> {
    private final ProxyTables.Pick pick;
    private final SplittableRandom random;
    private final ToIntFunction<K> openAttempts;

    /**
     * Creates a selector.
     *
     * @param random draws of picks by weight
     * @param openAttempts attempts in flight at an endpoint
     */
    public EndpointSelector(
            ProxyTables.Pick pick, SplittableRandom random, ToIntFunction<K> openAttempts) {
        this.pick = pick;
        this.random = random;
        this.openAttempts = openAttempts;
    }

    /**
     * Selects an endpoint at a time.
     *
     * @param previous the endpoint of the failed attempt before; null for the first attempt
     * @return null if there is none to send the request to
     */
    public K select(
            ProxyTables<K> tables,
            String requestClass,
            K previous,
            LocalOutliers<K> localOutliers,
            double now) {
        WeightedEndpoint<K> selected =
                tables.pick(
                        requestClass,
                        pick,
                        entry ->
                                entry.endpoint.equals(previous)
                                        || localOutliers.isAvoided(entry.endpoint, now),
                        entry -> openAttempts.applyAsInt(entry.endpoint),
                        random);
        return selected == null || selected.endpoint.equals(previous) ? null : selected.endpoint;
    }
}
