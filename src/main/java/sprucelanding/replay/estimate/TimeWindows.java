package sprucelanding.replay.estimate;

/**
 * The windows of two seconds that reports are summed in. Window n begins at n times {@link #MILLIS}
 * on the governors' clock; indexes may be negative.
 */
final class TimeWindows {
    /** Length of a window; nothing shorter shows in an estimate. */
    static final double MILLIS = 2000;

    private TimeWindows() {}

    /** The window that holds a time in ms. */
    static int indexOf(double at) {
        return (int) Math.floor(at / MILLIS);
    }

    /** Begin of a window in ms; a fraction of an index is a time within the window. */
    static double startOf(double index) {
        return index * MILLIS;
    }

    /** End of a window in ms, which is the begin of the next. */
    static double endOf(int index) {
        return (index + 1) * MILLIS;
    }
}
