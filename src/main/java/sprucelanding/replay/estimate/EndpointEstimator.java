package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * An estimator that derives the capacity of an endpoint, its outages, and the intervals in which it
 * was slow, silent or failing from its windows. Windows near an outage and windows with incomplete
 * reports are not used for the capacity.
 */
final class EndpointEstimator {
    private static final int MIN_OUTCOMES = 8;
    private static final double MIN_UTILIZATION = 0.08;

    /** At higher utilization an endpoint sheds load itself, which is not a fault. */
    private static final double SATURATION_UTILIZATION = 0.9;

    private static final double MIN_FAILED_SHARE = 0.15;

    private final ReportCoverage coverage;
    private final WindowRuns runs;
    private final EndpointHistory history;
    private final OutageDetector outageDetector;
    private final List<FaultInterval> partitions;
    private final double meanWorkMillis;

    /**
     * Creates an estimator for the endpoints of one fleet.
     *
     * @param partitions intervals in which a zone was partitioned from the others. During a
     *     partition attempts at any endpoint may have failed for proxies on the other side.
     * @param meanWorkMillis mean work of a request, in ms on a core of speed 1
     */
    EndpointEstimator(
            ReportCoverage coverage,
            EndpointHistory history,
            List<FaultInterval> partitions,
            double meanWorkMillis) {
        this.coverage = coverage;
        this.runs = new WindowRuns(coverage);
        this.history = history;
        this.outageDetector = new OutageDetector(history);
        this.partitions = partitions;
        this.meanWorkMillis = meanWorkMillis;
    }

    /** Returns the estimate of an endpoint from its windows, which are keyed by window index. */
    EndpointEstimate estimate(long endpointId, TreeMap<Integer, EndpointWindow> windows) {
        List<FaultInterval> faults = new ArrayList<>();
        List<Outage> outages = outageDetector.detect(endpointId, windows);
        for (Outage outage : outages) {
            faults.add(
                    new FaultInterval(
                            FaultInterval.FaultType.DOWN,
                            endpointId,
                            outage.from(),
                            outage.to(),
                            1));
        }
        CapacitySamples samples = new CapacitySamples(meanWorkMillis);
        List<Integer> silentWindows = new ArrayList<>();
        List<Integer> failingWindows = new ArrayList<>();
        windows.forEach(
                (index, window) -> {
                    if (outages.stream().anyMatch(outage -> outage.isNear(index))) {
                        return;
                    }
                    if (isCapacitySample(index, window)) {
                        samples.add(index, window);
                    }
                    if (isSilent(index, window)) {
                        silentWindows.add(index);
                    } else if (isFailing(window) && !isPartitioned(index)) {
                        failingWindows.add(index);
                    }
                });
        if (samples.isEmpty()) {
            return new EndpointEstimate(Optional.empty(), faults);
        }
        EndpointEstimate.Capacity capacity = samples.capacity();
        addSlowIntervals(endpointId, samples.slowdowns(capacity.workRate()), faults);
        addSilentIntervals(endpointId, silentWindows, faults);
        addFailingIntervals(endpointId, failingWindows, windows, faults);
        return new EndpointEstimate(Optional.of(capacity), faults);
    }

    private boolean isCapacitySample(int index, EndpointWindow window) {
        return window.completed() >= MIN_OUTCOMES
                && window.utilization() >= MIN_UTILIZATION
                && coverage.isWellReported(index)
                && !isFailing(window);
    }

    /** Returns whether the endpoint answered nothing although attempts were made. */
    private boolean isSilent(int index, EndpointWindow window) {
        return window.completed() == 0 && window.failed() > 0 && coverage.isWellReported(index);
    }

    private static boolean isFailing(EndpointWindow window) {
        return window.utilization() < SATURATION_UTILIZATION
                && window.failed() >= MIN_OUTCOMES
                && window.failed() > MIN_FAILED_SHARE * window.attempts();
    }

    private boolean isPartitioned(int window) {
        return partitions.stream()
                .anyMatch(
                        partition ->
                                partition.from() < TimeWindows.endOf(window)
                                        && partition.to() > TimeWindows.startOf(window));
    }

    private void addSlowIntervals(
            long endpointId, List<CapacitySamples.Slowdown> slowdowns, List<FaultInterval> faults) {
        TreeMap<Integer, Double> factorByWindow =
                slowdowns.stream()
                        .collect(
                                Collectors.toMap(
                                        CapacitySamples.Slowdown::window,
                                        CapacitySamples.Slowdown::factor,
                                        (earlier, later) -> later,
                                        TreeMap::new));
        runs.forEach(
                List.copyOf(factorByWindow.keySet()),
                (first, last) -> {
                    if (!history.isWarmingUp(endpointId, TimeWindows.startOf(first))) {
                        Map<Integer, Double> run = factorByWindow.subMap(first, true, last, true);
                        faults.add(
                                interval(
                                        FaultInterval.FaultType.SLOWER,
                                        endpointId,
                                        first,
                                        last,
                                        mean(run)));
                    }
                });
    }

    private static double mean(Map<Integer, Double> factorByWindow) {
        double sum = 0;
        for (double factor : factorByWindow.values()) {
            sum += factor;
        }
        return sum / factorByWindow.size();
    }

    private void addSilentIntervals(
            long endpointId, List<Integer> silentWindows, List<FaultInterval> faults) {
        runs.forEach(
                silentWindows,
                (first, last) -> {
                    boolean wasUnavailable =
                            history.wasUnavailableNear(endpointId, TimeWindows.startOf(first));
                    if (!wasUnavailable && !isPartitioned(first)) {
                        faults.add(
                                interval(
                                        FaultInterval.FaultType.SILENT,
                                        endpointId,
                                        first,
                                        last,
                                        1));
                    }
                });
    }

    private void addFailingIntervals(
            long endpointId,
            List<Integer> failingWindows,
            TreeMap<Integer, EndpointWindow> windows,
            List<FaultInterval> faults) {
        runs.forEach(
                failingWindows,
                (first, last) -> {
                    long failed = 0;
                    long attempts = 0;
                    for (EndpointWindow window : windows.subMap(first, true, last, true).values()) {
                        failed += window.failed();
                        attempts += window.attempts();
                    }
                    faults.add(
                            interval(
                                    FaultInterval.FaultType.FAILS,
                                    endpointId,
                                    first,
                                    last,
                                    (double) failed / attempts));
                });
    }

    private static FaultInterval interval(
            FaultInterval.FaultType type, long endpointId, int first, int last, double severity) {
        return new FaultInterval(
                type, endpointId, TimeWindows.startOf(first), TimeWindows.endOf(last), severity);
    }
}
