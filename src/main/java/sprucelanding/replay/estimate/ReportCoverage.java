package sprucelanding.replay.estimate;

import java.util.HashMap;
import java.util.Map;

/**
 * How much of each window the load reports cover, summed over all proxies. A governor that was
 * paused received no reports of that time, so low counts in such a window prove nothing.
 */
final class ReportCoverage {
    private static final double MIN_COVERAGE = 0.85; // of the median window's
    private static final double MAX_COVERAGE = 1.2;

    private final Map<Integer, Double> coveredMillisByWindow = new HashMap<>();
    private double medianCoveredMillis;
    private double endAt;

    /** Adds a report that covers the time between two instants in ms. */
    void add(double from, double to) {
        int last = TimeWindows.indexOf(to);
        for (int window = TimeWindows.indexOf(from); window <= last; window++) {
            double overlap =
                    Math.min(to, TimeWindows.endOf(window))
                            - Math.max(from, TimeWindows.startOf(window));
            coveredMillisByWindow.merge(window, Math.max(0, overlap), Double::sum);
        }
    }

    /**
     * Ends the intake: computes what a usual window's coverage is.
     *
     * @param lastRequestAt time of the last request in ms; windows that end later are incomplete
     */
    void complete(double lastRequestAt) {
        endAt = lastRequestAt;
        double[] sorted =
                coveredMillisByWindow.values().stream()
                        .mapToDouble(millis -> millis)
                        .sorted()
                        .toArray();
        medianCoveredMillis = sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }

    /** Whether the reports of a window account for about all that happened in it. */
    boolean isWellReported(int window) {
        double coveredMillis = coveredMillisByWindow.getOrDefault(window, 0.0);
        return coveredMillis >= MIN_COVERAGE * medianCoveredMillis
                && coveredMillis <= MAX_COVERAGE * medianCoveredMillis
                && TimeWindows.endOf(window) <= endAt;
    }
}
