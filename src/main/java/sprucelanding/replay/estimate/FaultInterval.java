package sprucelanding.replay.estimate;

/**
 * Something that lasted, in ms of the day: of a replica by its id, a zone or a governor by
 * position.
 *
 * @param size for SLOWER, so many times slower than usual; for FAILS, the share that failed; else 1
 */
public record FaultInterval(FaultType type, long subject, double from, double to, double severity) {
    /**
     * Down: its process was not there, and it began anew, cold. Silent: it answered nothing, and
     * went on as it was.
     */
    public enum FaultType {
        DOWN,
        SILENT,
        SLOWER,
        FAILS,
        CUT,
        GOVERNOR_DEAD,
        GOVERNOR_PAUSED
    }
}
