package sprucelanding.control.decision;

/** How an endpoint stands on the endpoint list. The order is that of stored captures. */
public enum EndpointState {
    /** Listed as ready for requests. */
    AVAILABLE,
    /**
     * Dropped from the list without having been announced as draining, at a site where that alone
     * does not end its service. It is treated as available until a health check fails.
     */
    MISSING,
    /** Announced as leaving: it finishes what it has and must be sent nothing new. */
    DRAINING,
    /** No longer listed. */
    GONE
}
