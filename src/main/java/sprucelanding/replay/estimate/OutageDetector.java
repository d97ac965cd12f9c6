package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * A detector of the intervals in which an endpoint's process was not running. The end of an outage
 * is the start time of the next process, which the endpoint list gives. The start of the outage is
 * in the last window before that start in which the endpoint completed requests.
 */
final class OutageDetector {
    /**
     * Start times that differ by at most this are one start, because several governors record the
     * same start with slightly different times.
     */
    private static final double SAME_START_TOLERANCE_MILLIS = 500;

    private final EndpointHistory history;

    OutageDetector(EndpointHistory history) {
        this.history = history;
    }

    /** Returns the outages of an endpoint in order of time. */
    List<Outage> detect(long endpointId, TreeMap<Integer, EndpointWindow> windows) {
        List<Outage> outages = new ArrayList<>();
        double previousStart = Double.NEGATIVE_INFINITY;
        for (double start : history.startTimes(endpointId)) {
            if (start - previousStart > SAME_START_TOLERANCE_MILLIS) {
                outages.add(new Outage(Math.min(outageBegin(windows, start), start - 1), start));
            }
            previousStart = start;
        }
        return outages;
    }

    private static double outageBegin(TreeMap<Integer, EndpointWindow> windows, double start) {
        OptionalInt lastCompleted = lastCompletedWindow(windows, TimeWindows.indexOf(start));
        return lastCompleted.isEmpty()
                ? start - TimeWindows.WINDOW_MILLIS
                : TimeWindows.startOf(lastCompleted.getAsInt() + 0.5);
    }

    private static OptionalInt lastCompletedWindow(
            TreeMap<Integer, EndpointWindow> windows, int before) {
        for (Map.Entry<Integer, EndpointWindow> entry :
                windows.headMap(before, false).descendingMap().entrySet()) {
            if (entry.getValue().completed() > 0) {
                return OptionalInt.of(entry.getKey());
            }
        }
        return OptionalInt.empty();
    }
}
