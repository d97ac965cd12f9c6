package sprucelanding.simulation.emulator;

/** Whose tables proxies go by. All but the governors' are baselines, set without a channel. */
public enum RoutingPolicy {
    GOVERNORS,
    /** All replicas evenly, as listed at the begin. */
    EVEN,
    /** The standing lines of the own zone, all day. */
    HANDS_OFF,
    /** Each second, weights inverse to the loads that answers told. */
    INVERSE,
    /** Each second, weights as what replicas can truly do at the moment: what nobody can know. */
    SEEING
}
