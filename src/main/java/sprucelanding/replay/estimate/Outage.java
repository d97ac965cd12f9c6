package sprucelanding.replay.estimate;

/**
 * An interval in which an endpoint's process was not running.
 *
 * @param from time at which the process stopped, in ms on the governors' clock
 * @param to time at which the next process started, in ms on the governors' clock
 */
record Outage(double from, double to) {
    /**
     * Returns whether a window overlaps the outage or directly precedes the window in which the
     * outage began.
     */
    boolean isNear(int window) {
        return window >= TimeWindows.indexOf(from) - 1 && window <= TimeWindows.indexOf(to);
    }
}
