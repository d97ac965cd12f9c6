package sprucelanding.control.decision;

/**
 * Status of an endpoint on the endpoint list. Stored captures depend on the order of the constants.
 */
public enum EndpointState {
    /** The endpoint is listed as ready for requests. */
    AVAILABLE,
    /**
     * The endpoint disappeared from the list without having been listed as draining, at a site
     * where a disappearance does not remove an endpoint. The endpoint is treated as available until
     * a health check fails.
     */
    MISSING,
    /** The endpoint completes its current requests and must not get new ones. */
    DRAINING,
    /** The endpoint is no longer listed. */
    GONE
}
