package sprucelanding.replay.estimate;

/**
 * An interval in which an endpoint, a zone or a governor had a fault. Times are in ms since the
 * first request in an {@link EstimatedFleet}, and in ms on the governors' clock during the
 * estimation.
 *
 * @param type type of the fault
 * @param subject id of the endpoint, index of the zone or index of the governor with the fault
 * @param from start of the interval
 * @param to end of the interval
 * @param severity for SLOWER, mean factor by which the endpoint was slower than usual; for FAILS,
 *     the share of attempts that failed; otherwise 1
 */
public record FaultInterval(FaultType type, long subject, double from, double to, double severity) {
    /**
     * The types of faults. Their names are printed. Their order matters: the types before {@link
     * #CUT} are faults of endpoints.
     */
    public enum FaultType {
        /** An endpoint's process was not running; the next process had to warm up again. */
        DOWN,
        /** An endpoint answered no request, and later continued without a restart. */
        SILENT,
        /** An endpoint was slower than usual. */
        SLOWER,
        /** An endpoint failed a share of its requests. */
        FAILS,
        /** A zone was partitioned from all other zones. */
        CUT,
        /** A governor's process was not running. */
        GOVERNOR_DEAD,
        /** A governor's process was paused. */
        GOVERNOR_PAUSED
    }

    /** Returns the same interval with its times counted from an origin, in ms. */
    FaultInterval since(double origin) {
        return new FaultInterval(type, subject, from - origin, to - origin, severity);
    }
}
