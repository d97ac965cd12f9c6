package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;

/**
 * Samples of one endpoint's capacity, one for each suitable window. A sample is computed by the
 * utilization law: completed requests x mean work = utilization x capacity.
 */
final class CapacitySamples {
    /**
     * An endpoint counts as slow in a window if it is slower than usual by more than this factor.
     */
    static final double SLOWDOWN_THRESHOLD = 1.3;

    private static final double SLOWDOWN_STANDARD_ERRORS = 3;

    private record Sample(int window, double workRate, long completed) {}

    /**
     * A window in which the endpoint was slow.
     *
     * @param window index of the window
     * @param factor usual capacity divided by the capacity in the window
     */
    record Slowdown(int window, double factor) {}

    private final double meanWorkMillis;
    private final List<Sample> samples = new ArrayList<>();

    /**
     * Creates an empty set of samples.
     *
     * @param meanWorkMillis mean work of a request, in ms on a core of speed 1
     */
    CapacitySamples(double meanWorkMillis) {
        this.meanWorkMillis = meanWorkMillis;
    }

    void add(int index, EndpointWindow window) {
        double workRate =
                window.completed()
                        * meanWorkMillis
                        / (TimeWindows.WINDOW_MILLIS * window.utilization());
        samples.add(new Sample(index, workRate, window.completed()));
    }

    boolean isEmpty() {
        return samples.isEmpty();
    }

    /** Returns the endpoint's usual capacity. At least one sample must have been added. */
    EndpointEstimate.Capacity capacity() {
        double[] sorted = samples.stream().mapToDouble(Sample::workRate).sorted().toArray();
        // Faults only make an endpoint slower, so its usual speed is above the median.
        double typicalWorkRate = sorted[sorted.length * 3 / 5];
        double completed = 0;
        double busyMillis = 0;
        for (Sample sample : samples) {
            // The error of a single window is positive as often as negative. The errors cancel out
            // in the sum over many windows.
            if (sample.workRate * SLOWDOWN_THRESHOLD >= typicalWorkRate) {
                completed += sample.completed;
                busyMillis += sample.completed / sample.workRate;
            }
        }
        double workRate = completed / busyMillis;
        double relativeError =
                Math.sqrt(2 / completed)
                        + meanRelativeDeviation(sorted, workRate) / Math.sqrt(sorted.length);
        return new EndpointEstimate.Capacity(workRate, relativeError);
    }

    /**
     * Returns the windows in which the endpoint was slower than usual by more than random variation
     * explains.
     */
    List<Slowdown> slowdowns(double usualWorkRate) {
        List<Slowdown> slowdowns = new ArrayList<>();
        for (Sample sample : samples) {
            double noise = SLOWDOWN_STANDARD_ERRORS / Math.sqrt(sample.completed);
            double factor = usualWorkRate / sample.workRate;
            if (factor > Math.max(SLOWDOWN_THRESHOLD, 1 + noise)) {
                slowdowns.add(new Slowdown(sample.window, factor));
            }
        }
        return slowdowns;
    }

    private static double meanRelativeDeviation(double[] values, double center) {
        double sum = 0;
        for (double value : values) {
            sum += Math.abs(value - center) / center;
        }
        return values.length == 0 ? 1 : sum / values.length;
    }
}
