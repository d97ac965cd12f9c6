package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;

/**
 * The windows that tell of one endpoint's capacity, by the utilization law: completed requests x
 * their mean work = utilization x what the endpoint can do.
 */
final class CapacitySamples {
    /** An endpoint counts as slow in a window if it is more times slower than usual. */
    static final double SLOWDOWN_THRESHOLD = 1.3;

    private static final double STANDARD_ERRORS_OF_SLOWDOWN = 3;

    private record Sample(int window, double workRate, long completed) {}

    /**
     * A window in which the endpoint was slow.
     *
     * @param window index of the window
     * @param factor so many times slower than usual
     */
    record Slowdown(int window, double factor) {}

    private final double meanWorkMillis;
    private final List<Sample> samples = new ArrayList<>();

    /**
     * @param meanWorkMillis mean work of a request, in ms on a core of speed 1
     */
    CapacitySamples(double meanWorkMillis) {
        this.meanWorkMillis = meanWorkMillis;
    }

    void add(int index, EndpointWindow window) {
        double workRate =
                window.completed() * meanWorkMillis / (TimeWindows.MILLIS * window.utilization());
        samples.add(new Sample(index, workRate, window.completed()));
    }

    boolean isEmpty() {
        return samples.isEmpty();
    }

    /** The endpoint's usual capacity; there must be a sample. */
    EndpointEstimate.Capacity capacity() {
        double[] sorted = samples.stream().mapToDouble(Sample::workRate).sorted().toArray();
        // Faults only ever make an endpoint slower, so that its usual speed is above the median.
        double typicalWorkRate = sorted[sorted.length * 3 / 5];
        double completed = 0;
        double busyMillis = 0;
        for (Sample sample : samples) {
            // Single windows err upwards as often as downwards; the sum of many does not.
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

    /** Windows in which the endpoint was slower than usual by more than chance explains. */
    List<Slowdown> slowdowns(double usualWorkRate) {
        List<Slowdown> slowdowns = new ArrayList<>();
        for (Sample sample : samples) {
            double noise = STANDARD_ERRORS_OF_SLOWDOWN / Math.sqrt(sample.completed);
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
