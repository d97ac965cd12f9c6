package sprucelanding.replay.estimate;

/**
 * The windows of two seconds in which reports are summed. Window n begins at n x {@link
 * #WINDOW_MILLIS} on the governors' clock. An index may be negative. Times are in ms.
 */
final class TimeWindows {
    /** Length of a window; an estimate does not show faults shorter than a window. */
    static final double WINDOW_MILLIS = 2000;

    private TimeWindows() {}

    /** Returns the index of the window that contains a time. */
    static int indexOf(double at) {
        return (int) Math.floor(at / WINDOW_MILLIS);
    }

    /** Returns the start of a window; a fractional index gives a time within the window. */
    static double startOf(double index) {
        return index * WINDOW_MILLIS;
    }

    /** Returns the end of a window, which is the start of the next window. */
    static double endOf(int index) {
        return (index + 1) * WINDOW_MILLIS;
    }
}
