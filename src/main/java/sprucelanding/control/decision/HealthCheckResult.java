package sprucelanding.control.decision;

/** Outcome of one health check. Stored captures depend on the order of the constants. */
public enum HealthCheckResult {
    /** The endpoint reported that it is healthy. */
    OK,
    /** The endpoint reported that it has no free capacity. */
    BUSY,
    /** The endpoint responded with an error or closed the connection. */
    ERROR,
    /** The endpoint did not respond within the timeout. */
    TIMED_OUT,
    /** No connection to the endpoint was established. */
    UNREACHABLE,
    /**
     * The governor could not perform the check. The outcome is no evidence about the endpoint's
     * health.
     */
    NOT_PERFORMED;

    /** Returns whether the endpoint failed to give a valid response. */
    boolean isMissed() {
        return this != OK && this != BUSY && this != NOT_PERFORMED;
    }
}
