package sprucelanding.replay.estimate;

/**
 * A time in which an endpoint's process was not running.
 *
 * @param from when it stopped, in ms
 * @param to when its successor started, in ms
 */
record Outage(double from, double to) {
    /** Whether a window is within the outage or at an edge of it. */
    boolean isNear(int window) {
        return window >= TimeWindows.indexOf(from) - 1 && window <= TimeWindows.indexOf(to);
    }
}
