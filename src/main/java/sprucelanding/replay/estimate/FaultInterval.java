package sprucelanding.replay.estimate;

/**
 * A time in which something was at fault.
 *
 * @param type what was wrong
 * @param subject the endpoint's id, or the index of the zone or of the governor
 * @param from begin in ms since the first request
 * @param to end in ms since the first request
 * @param severity for SLOWER, so many times slower than usual; for FAILS, the share of attempts
 *     that failed; else 1
 */
public record FaultInterval(FaultType type, long subject, double from, double to, double severity) {
    /** What was wrong. Names are printed, and the order tells whose faults they are. */
    public enum FaultType {
        /** An endpoint's process was not running; its successor warmed up again. */
        DOWN,
        /** An endpoint answered nothing, and went on as it was. */
        SILENT,
        /** An endpoint was slower than usual. */
        SLOWER,
        /** An endpoint failed a share of what it was sent. */
        FAILS,
        /** A zone was cut off from all others. */
        CUT,
        /** A governor's process was not running. */
        GOVERNOR_DEAD,
        /** A governor's process stood still. */
        GOVERNOR_PAUSED
    }

    /** The same interval in ms since an origin. */
    FaultInterval since(double origin) {
        return new FaultInterval(type, subject, from - origin, to - origin, severity);
    }
}
