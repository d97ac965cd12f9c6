package sprucelanding.simulation.model;

import java.util.SplittableRandom;
import java.util.function.ToIntFunction;

/**
 * Selector of the endpoint for each attempt of a proxy. Selects from the proxy's tables, but never
 * the endpoint at which the request's previous attempt failed. Selects a local outlier of the proxy
 * only if the table has no other healthy entry.
 *
 * @param <K> type that identifies an endpoint
 */
public final class EndpointSelector<K> {
    private final ProxyTables.Pick pick;
    private final SplittableRandom random;
    private final ToIntFunction<K> openAttempts;

    /**
     * Creates a selector.
     *
     * @param random source of the draws by weight
     * @param openAttempts gives the number of attempts in flight at an endpoint
     */
    public EndpointSelector(
            ProxyTables.Pick pick, SplittableRandom random, ToIntFunction<K> openAttempts) {
        this.pick = pick;
        this.random = random;
        this.openAttempts = openAttempts;
    }

    /**
     * Selects an endpoint for an attempt that starts now.
     *
     * @param previous endpoint of the previous, failed attempt; null for the first attempt
     * @return the selected endpoint; null if there is no endpoint to send the request to
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
