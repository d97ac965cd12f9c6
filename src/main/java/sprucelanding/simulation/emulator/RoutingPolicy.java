package sprucelanding.simulation.emulator;

/** Who sets the proxies' tables. All but the governors are baselines, which need no channel. */
public enum RoutingPolicy {
    /** The governors of the scenario. */
    GOVERNORS,
    /** All endpoints evenly, as listed at the start. */
    EVEN,
    /** The static entries of the own zone throughout. */
    HANDS_OFF,
    /** Each second, weights inverse to the utilization of endpoints. */
    INVERSE,
    /** Each second, weights by the true current capacity of endpoints, which nobody can know. */
    SEEING
}
