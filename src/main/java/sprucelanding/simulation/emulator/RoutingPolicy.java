package sprucelanding.simulation.emulator;

/**
 * Policy that sets the proxies' tables. All policies except {@link #GOVERNORS} are baselines for
 * comparison, which set the tables without a channel.
 */
public enum RoutingPolicy {
    /** The governors of the scenario set the tables. */
    GOVERNORS,
    /** Each proxy sends evenly to all endpoints listed at the start. */
    EVEN,
    /** Each proxy keeps the static entries of its own zone throughout the run. */
    HANDS_OFF,
    /**
     * Every second, the weights are set inversely proportional to the utilization of the endpoints.
     */
    INVERSE,
    /**
     * Every second, the weights are set to the true current capacity of the endpoints. Outside the
     * emulator this capacity is not known.
     */
    SEEING
}
