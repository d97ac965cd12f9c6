package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Tables of proxies that no governor has configured: the static entries, and the weights of the
 * baseline policies.
 */
final class BaselineTables {
    private static final double FIRST_UPDATE_MILLIS = 200;
    private static final double UPDATE_INTERVAL_MILLIS = 1000;

    /** Utilization below which the weight of an endpoint no longer rises. */
    private static final double MIN_UTILIZATION = 0.05;

    private final EmulatedFleet fleet;
    private final RoutingPolicy policy;
    private final List<EmulatedProxy> proxies;
    private final SplittableRandom random;

    /**
     * Creates the baseline tables of a policy.
     *
     * @param random random source that is shared with the scenario's faults
     */
    BaselineTables(
            EmulatedFleet fleet,
            RoutingPolicy policy,
            List<EmulatedProxy> proxies,
            SplittableRandom random) {
        this.fleet = fleet;
        this.policy = policy;
        this.proxies = proxies;
        this.random = random;
    }

    /** Schedules the first update of a policy that sets weights. */
    void start() {
        if (policy == RoutingPolicy.INVERSE || policy == RoutingPolicy.SEEING) {
            fleet.clock.scheduleAfter(FIRST_UPDATE_MILLIS, this::updateWeights);
        }
    }

    /** Draws the static entries of a proxy in this zone. */
    List<EmulatedEndpoint> staticEndpoints(int zone) {
        List<EmulatedEndpoint> candidates =
                new ArrayList<>(
                        fleet.endpoints.stream()
                                .filter(
                                        endpoint ->
                                                policy == RoutingPolicy.EVEN
                                                        || endpoint.zone == zone)
                                .toList());
        Collections.shuffle(candidates, new Random(random.nextLong()));
        int count =
                policy == RoutingPolicy.EVEN
                        ? candidates.size()
                        : Math.min(fleet.scenario.proxies().standing(), candidates.size());
        return List.copyOf(candidates.subList(0, count));
    }

    private void updateWeights() {
        Map<EmulatedEndpoint, Double> weights = new LinkedHashMap<>();
        for (EmulatedEndpoint endpoint : fleet.endpoints) {
            double weight = weight(endpoint);
            if (weight > 0) {
                weights.put(endpoint, weight);
            }
        }
        proxies.forEach(proxy -> proxy.setWeights(weights));
        fleet.clock.scheduleAfter(UPDATE_INTERVAL_MILLIS, this::updateWeights);
    }

    private double weight(EmulatedEndpoint endpoint) {
        if (policy == RoutingPolicy.SEEING) {
            return endpoint.maxWorkRate();
        }
        return endpoint.isUp() ? 1 / Math.max(MIN_UTILIZATION, endpoint.utilization()) : 0;
    }
}
