package sprucelanding.control.delivery;

/**
 * The admission of one request class on one table.
 *
 * @param level admitted share of requests, or requests a second where the site admits by rate
 * @param retryMode which failed requests are retried, as the controller's output defines it
 */
record Admission(double level, int retryMode) {
    /** Admits all requests, whether levels are shares or rates. */
    static final Admission ALL = new Admission(1e6, 0);
}
