package sprucelanding.control.delivery;

/**
 * Types of resources, in the order in which they are added; they are removed in the opposite order.
 * The constants' names are logged and stored.
 */
public enum ResourceType {
    /** A table, without its entries (CDS). */
    CLUSTER,
    /** Where a table's entries are found; on a state-of-the-world stream the entries (EDS). */
    ENDPOINTS,
    /** One endpoint's entry in a table (LEDS). */
    LINE,
    /** Which table serves which request class, its admission and its retries (RDS). */
    ROUTE
}
