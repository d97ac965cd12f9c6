package sprucelanding.control.decision;

/** The outcome of one health check. The order is that of stored captures. */
public enum HealthCheckResult {
    /** The endpoint answered that it is well. */
    OK,
    /** It answered that it has no capacity left. */
    BUSY,
    /** It answered with an error, or broke the connection. */
    ERROR,
    /** It did not answer in time. */
    TIMED_OUT,
    /** No connection came up. */
    UNREACHABLE,
    /** The check could not be made for a reason on this side; it tells nothing. */
    NOT_PERFORMED;

    /** Whether the endpoint is to blame for the lack of an answer. */
    boolean isMissed() {
        return this != OK && this != BUSY && this != NOT_PERFORMED;
    }
}
