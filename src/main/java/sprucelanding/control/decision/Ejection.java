package sprucelanding.control.decision;

/**
 * Ejection state of one endpoint: whether the endpoint is ejected from the routing tables as an
 * outlier, and the earliest time of its return. {@link OutlierDetector} changes the state. The
 * state is kept after an ejection has ended, because the length of the next ejection depends on it.
 */
final class Ejection {
    private boolean active;
    private double earliestEnd = EventTime.NEVER;
    private double durationMs;

    /** Whether most of the endpoint's zone became unresponsive with the endpoint. */
    private boolean partOfZoneOutage;

    boolean isActive() {
        return active;
    }

    /**
     * Returns the earliest end of the last ejection, ms; {@link EventTime#NEVER} if the endpoint's
     * process has not been ejected.
     */
    double earliestEnd() {
        return earliestEnd;
    }

    /** Returns the minimum duration of the last ejection. */
    double durationMs() {
        return durationMs;
    }

    /**
     * Returns whether most of the endpoint's zone became unresponsive with the endpoint. The
     * proxies in that zone are then probably unreachable too.
     */
    boolean isPartOfZoneOutage() {
        return partOfZoneOutage;
    }

    void begin(double now, double minDurationMs) {
        active = true;
        durationMs = minDurationMs;
        earliestEnd = now + minDurationMs;
    }

    void setPartOfZoneOutage(boolean inZoneOutage) {
        partOfZoneOutage = inZoneOutage;
    }

    void end() {
        active = false;
    }

    /**
     * Resets the state after the endpoint has started a new process.
     *
     * @param ejectedUntilChecked whether the new process stays ejected until it passes health
     *     checks
     */
    void newProcessStarted(boolean ejectedUntilChecked) {
        active = ejectedUntilChecked;
        earliestEnd = EventTime.NEVER;
    }
}
