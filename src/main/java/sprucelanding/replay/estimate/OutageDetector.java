package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * Finds the times at which an endpoint's process was not running. The endpoint list tells when the
 * next process started; the endpoint fell silent in the last window before in which it completed
 * requests.
 */
final class OutageDetector {
    /** Starts nearer than this, as told by several governors, are one. */
    private static final double SAME_START_MILLIS = 500;

    private final EndpointHistory history;

    OutageDetector(EndpointHistory history) {
        this.history = history;
    }

    /** Outages of an endpoint in order of time. */
    List<Outage> detect(long endpointId, TreeMap<Integer, EndpointWindow> windows) {
        List<Outage> outages = new ArrayList<>();
        double previousStart = Double.NEGATIVE_INFINITY;
        for (double start : history.startTimes(endpointId)) {
            if (start - previousStart > SAME_START_MILLIS) {
                outages.add(new Outage(Math.min(silentFrom(windows, start), start - 1), start));
            }
            previousStart = start;
        }
        return outages;
    }

    private static double silentFrom(TreeMap<Integer, EndpointWindow> windows, double start) {
        OptionalInt lastCompleted = lastCompletedWindow(windows, TimeWindows.indexOf(start));
        return lastCompleted.isEmpty()
                ? start - TimeWindows.MILLIS
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
