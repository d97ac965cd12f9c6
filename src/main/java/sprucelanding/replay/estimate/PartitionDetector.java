package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds the times at which a zone was cut off from all others: nearly all attempts across its
 * border failed while its own proxies were answered by its own endpoints.
 */
final class PartitionDetector {
    private static final int MIN_SAMPLES = 8;
    private static final double MIN_FAILED_SHARE = 0.8;

    /** Windows after which a partition is over at the latest, whatever reports say. */
    private static final int MAX_TAIL_WINDOWS = 10;

    private final int zoneCount;
    private final ZonePairOutcomes outcomes;
    private final WindowRuns runs;

    PartitionDetector(int zoneCount, ZonePairOutcomes outcomes, WindowRuns runs) {
        this.zoneCount = zoneCount;
        this.outcomes = outcomes;
        this.runs = runs;
    }

    /** All partitions, by zone and then by time. */
    List<FaultInterval> detect() {
        Map<Integer, List<Integer>> windowsByZone = new TreeMap<>();
        for (int window : outcomes.windows()) {
            for (int zone = 0; zone < zoneCount; zone++) {
                if (isCutOff(zone, window)) {
                    windowsByZone.computeIfAbsent(zone, key -> new ArrayList<>()).add(window);
                }
            }
        }
        List<FaultInterval> partitions = new ArrayList<>();
        windowsByZone.forEach(
                (zone, windows) ->
                        runs.forEach(
                                windows,
                                (first, last) -> partitions.add(partition(zone, first, last))));
        return partitions;
    }

    private boolean isCutOff(int zone, int window) {
        ZonePairOutcomes.Outcomes external = outcomes.withOtherZones(zone, zoneCount, window);
        return outcomes.oneWay(zone, zone, window).completed() > 0
                && external.failed() >= MIN_SAMPLES
                && external.failed()
                        > MIN_FAILED_SHARE * (external.completed() + external.failed());
    }

    private FaultInterval partition(int zone, int first, int last) {
        return new FaultInterval(
                FaultInterval.FaultType.CUT,
                zone,
                TimeWindows.startOf(first - 0.5),
                TimeWindows.startOf(endWindow(zone, last)),
                1);
    }

    /**
     * The window in which the zone and others answered each other again. Failures stop before,
     * because proxies no longer try.
     */
    private int endWindow(int zone, int lastWindow) {
        for (int window = lastWindow + 1; window < lastWindow + MAX_TAIL_WINDOWS; window++) {
            if (outcomes.withOtherZones(zone, zoneCount, window).completed() >= MIN_SAMPLES) {
                return window;
            }
        }
        return lastWindow + 1;
    }
}
