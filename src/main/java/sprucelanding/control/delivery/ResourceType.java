package sprucelanding.control.delivery;

/** Kinds of resources, in the order in which they are made; they are unmade the other way round. */
public enum ResourceType {
    /** A table, without its lines. */
    CLUSTER,
    /** Where a table's lines are found; on a whole-state stream, the lines themselves. */
    ENDPOINTS,
    /** One replica's line in a table. */
    LINE,
    /** Which table serves which product, what is let in and when a proxy tries again. */
    ROUTE
}
