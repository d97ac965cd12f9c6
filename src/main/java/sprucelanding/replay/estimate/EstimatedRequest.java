package sprucelanding.replay.estimate;

/**
 * A request as its client first sent it.
 *
 * @param at when it was sent, in ms since the first request
 * @param proxy position of its proxy in the order of the proxies' names
 * @param requestClass index of its class
 * @param workMillis its work in ms on a core of speed 1; {@link #UNKNOWN_WORK} if it is not known
 */
public record EstimatedRequest(double at, int proxy, int requestClass, double workMillis) {
    /**
     * Value of {@link #workMillis} for a request that was inferred from counts; compare by isNaN.
     */
    public static final double UNKNOWN_WORK = Double.NaN;

    /** The same request in ms since an origin. */
    EstimatedRequest since(double origin) {
        return new EstimatedRequest(at - origin, proxy, requestClass, workMillis);
    }
}
