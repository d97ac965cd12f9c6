package sprucelanding.control.delivery;

/**
 * Admission of one request class on one table.
 *
 * @param level admitted share of requests, or requests per second if the site admits by rate
 * @param retryMode which failed requests are retried, as defined by the controller's output
 */
record Admission(double level, int retryMode) {
    /** Admission of all requests. The value is high enough for both meanings of the level. */
    static final Admission ALL = new Admission(1e6, 0);
}
