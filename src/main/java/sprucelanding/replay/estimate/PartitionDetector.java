package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A detector of the intervals in which a zone was partitioned from all other zones: nearly all
 * attempts between the zone and other zones failed, while endpoints of the zone answered proxies of
 * the zone.
 */
final class PartitionDetector {
    private static final int MIN_OUTCOMES = 8;
    private static final double MIN_FAILED_SHARE = 0.8;

    /**
     * The search for the end of a partition covers fewer than this many windows after the last
     * window of the partition. If the search finds nothing, the partition ends with that window.
     */
    private static final int MAX_END_SEARCH_WINDOWS = 10;

    private final int zoneCount;
    private final ZonePairOutcomes outcomes;
    private final WindowRuns runs;

    PartitionDetector(int zoneCount, ZonePairOutcomes outcomes, WindowRuns runs) {
        this.zoneCount = zoneCount;
        this.outcomes = outcomes;
        this.runs = runs;
    }

    /** Returns all partitions, ordered by zone and then by time. */
    List<FaultInterval> detect() {
        Map<Integer, List<Integer>> windowsByZone = new TreeMap<>();
        for (int window : outcomes.windows()) {
            for (int zone = 0; zone < zoneCount; zone++) {
                if (isPartitioned(zone, window)) {
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

    private boolean isPartitioned(int zone, int window) {
        ZonePairOutcomes.Outcomes crossZone = outcomes.withOtherZones(zone, zoneCount, window);
        return outcomes.oneWay(zone, zone, window).completed() > 0
                && crossZone.failed() >= MIN_OUTCOMES
                && crossZone.failed()
                        > MIN_FAILED_SHARE * (crossZone.completed() + crossZone.failed());
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
     * Returns the first window in which attempts between the zone and other zones succeeded again.
     * Failures end earlier, because proxies make no more attempts at unreachable endpoints.
     */
    private int endWindow(int zone, int lastWindow) {
        for (int window = lastWindow + 1; window < lastWindow + MAX_END_SEARCH_WINDOWS; window++) {
            if (outcomes.withOtherZones(zone, zoneCount, window).completed() >= MIN_OUTCOMES) {
                return window;
            }
        }
        return lastWindow + 1;
    }
}
