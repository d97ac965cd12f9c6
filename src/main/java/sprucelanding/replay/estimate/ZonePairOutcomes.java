package sprucelanding.replay.estimate;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** The outcomes of attempts by the zone of the proxy, the zone of the endpoint and the window. */
final class ZonePairOutcomes {
    private record Key(int fromZone, int toZone, int window) {}

    /**
     * The number of attempts by outcome.
     *
     * @param completed attempts that were answered
     * @param failed attempts that failed
     */
    record Outcomes(long completed, long failed) {
        static final Outcomes NONE = new Outcomes(0, 0);

        Outcomes plus(Outcomes other) {
            return new Outcomes(completed + other.completed, failed + other.failed);
        }
    }

    private final Map<Key, Outcomes> outcomesByKey = new HashMap<>();

    /** Adds the outcomes of one report at one endpoint. */
    void add(int fromZone, int toZone, int window, Outcomes outcomes) {
        outcomesByKey.merge(new Key(fromZone, toZone, window), outcomes, Outcomes::plus);
    }

    /** Returns the outcomes in one direction. */
    Outcomes oneWay(int fromZone, int toZone, int window) {
        return outcomesByKey.getOrDefault(new Key(fromZone, toZone, window), Outcomes.NONE);
    }

    /** Returns the outcomes between two different zones, in both directions. */
    Outcomes between(int zone, int otherZone, int window) {
        return oneWay(zone, otherZone, window).plus(oneWay(otherZone, zone, window));
    }

    /** Returns the outcomes between a zone and all other zones, in both directions. */
    Outcomes withOtherZones(int zone, int zoneCount, int window) {
        Outcomes sum = Outcomes.NONE;
        for (int otherZone = 0; otherZone < zoneCount; otherZone++) {
            if (otherZone != zone) {
                sum = sum.plus(between(zone, otherZone, window));
            }
        }
        return sum;
    }

    /** Returns the indexes of the windows with attempts, ascending. */
    TreeSet<Integer> windows() {
        TreeSet<Integer> windows = new TreeSet<>();
        outcomesByKey.keySet().forEach(key -> windows.add(key.window));
        return windows;
    }
}
