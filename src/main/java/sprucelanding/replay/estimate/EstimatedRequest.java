package sprucelanding.replay.estimate;

/**
 * The first attempt of a client's request. Times are in ms since the first request in an {@link
 * EstimatedFleet}, and in ms on the governors' clock during the estimation.
 *
 * @param at time at which the client sent the request
 * @param proxyIndex index of the request's proxy in the order of the proxies' names
 * @param classIndex index of the request class
 * @param workMillis work of the request, in ms on a core of speed 1; {@link #UNKNOWN_WORK} if the
 *     work is unknown
 */
public record EstimatedRequest(double at, int proxyIndex, int classIndex, double workMillis) {
    /**
     * The value of {@link #workMillis} for a request that was inferred from counts. The value is
     * NaN, so it must be tested with isNaN.
     */
    public static final double UNKNOWN_WORK = Double.NaN;

    /** Returns the same request with its time counted from an origin, in ms. */
    EstimatedRequest since(double origin) {
        return new EstimatedRequest(at - origin, proxyIndex, classIndex, workMillis);
    }
}
