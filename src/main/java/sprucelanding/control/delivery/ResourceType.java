package sprucelanding.control.delivery;

/**
 * Types of resources, in the order in which they are added. Resources are removed in the opposite
 * order. The names of the constants are logged and stored.
 */
public enum ResourceType {
    /** A table without its entries (CDS). */
    CLUSTER,
    /**
     * The source of a table's entries, or the entries themselves on a state-of-the-world stream
     * (EDS).
     */
    ENDPOINTS,
    /** One endpoint's entry in a table (LEDS). */
    LINE,
    /** The table, the admission and the retries of each request class (RDS). */
    ROUTE
}
