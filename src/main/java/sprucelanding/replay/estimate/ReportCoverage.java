package sprucelanding.replay.estimate;

import java.util.HashMap;
import java.util.Map;

/**
 * The time that load reports cover in each window, summed over all proxies. A paused governor
 * receives no reports, so low counts in a window with low coverage do not indicate a fault. Times
 * are in ms on the governors' clock.
 */
final class ReportCoverage {
    /** Lowest coverage of a well-reported window, as a share of the median coverage. */
    private static final double MIN_COVERAGE_SHARE = 0.85;

    /** Highest coverage of a well-reported window, as a share of the median coverage. */
    private static final double MAX_COVERAGE_SHARE = 1.2;

    private final Map<Integer, Double> coveredMillisByWindow = new HashMap<>();
    private double medianCoveredMillis;
    private double endAt;

    /** Adds a report that covers the interval between two times. */
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
     * Computes the median coverage after all reports were added.
     *
     * @param lastRequestAt time of the last request; windows that end later are incomplete
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

    /** Returns whether the reports of a window cover the window about completely. */
    boolean isWellReported(int window) {
        double coveredMillis = coveredMillisByWindow.getOrDefault(window, 0.0);
        return coveredMillis >= MIN_COVERAGE_SHARE * medianCoveredMillis
                && coveredMillis <= MAX_COVERAGE_SHARE * medianCoveredMillis
                && TimeWindows.endOf(window) <= endAt;
    }
}
