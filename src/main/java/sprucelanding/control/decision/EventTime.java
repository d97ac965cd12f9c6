package sprucelanding.control.decision;

/**
 * Time of the event that is being handled, and number of periodic updates since the start. The host
 * supplies the time with each event; no class of this package reads a clock.
 */
final class EventTime {
    /** A time before every event, in ms. */
    static final double NEVER = Double.NEGATIVE_INFINITY;

    /** Time between two periodic updates. Weights change once in each periodic update. */
    static final double UPDATE_INTERVAL_MS = 1000;

    private double now;
    private long updateCount;

    /** Returns the time of the current event on the host's clock, ms. */
    double now() {
        return now;
    }

    void advanceTo(double time) {
        now = time;
    }

    /** Returns the number of periodic updates so far, including an update in progress. */
    long updateCount() {
        return updateCount;
    }

    void updateStarted() {
        updateCount++;
    }
}
