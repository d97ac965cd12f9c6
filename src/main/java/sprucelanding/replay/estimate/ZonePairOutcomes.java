package sprucelanding.replay.estimate;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Attempts from proxies of one zone to endpoints of another, by window. */
final class ZonePairOutcomes {
    private record Key(int fromZone, int toZone, int window) {}

    /**
     * How attempts ended.
     *
     * @param completed how many were answered
     * @param failed how many were not
     */
    record Outcomes(long completed, long failed) {
        static final Outcomes NONE = new Outcomes(0, 0);

        Outcomes plus(Outcomes other) {
            return new Outcomes(completed + other.completed, failed + other.failed);
        }
    }

    private final Map<Key, Outcomes> outcomesByKey = new HashMap<>();

    /** Adds one report's outcomes at one endpoint. */
    void add(int fromZone, int toZone, int window, Outcomes outcomes) {
        outcomesByKey.merge(new Key(fromZone, toZone, window), outcomes, Outcomes::plus);
    }

    /** Attempts in one direction. */
    Outcomes oneWay(int fromZone, int toZone, int window) {
        return outcomesByKey.getOrDefault(new Key(fromZone, toZone, window), Outcomes.NONE);
    }

    /** Attempts in both directions between two different zones. */
    Outcomes between(int zone, int otherZone, int window) {
        return oneWay(zone, otherZone, window).plus(oneWay(otherZone, zone, window));
    }

    /** Attempts between a zone and all others, in both directions. */
    Outcomes withOtherZones(int zone, int zoneCount, int window) {
        Outcomes sum = Outcomes.NONE;
        for (int otherZone = 0; otherZone < zoneCount; otherZone++) {
            if (otherZone != zone) {
                sum = sum.plus(between(zone, otherZone, window));
            }
        }
        return sum;
    }

    /** Windows in which there were attempts, ascending. */
    TreeSet<Integer> windows() {
        TreeSet<Integer> windows = new TreeSet<>();
        outcomesByKey.keySet().forEach(key -> windows.add(key.window));
        return windows;
    }
}
