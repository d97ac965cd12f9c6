package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import sprucelanding.control.decision.EndpointState;

/**
 * The history of the endpoint list: the zone, the states and the process starts of each endpoint.
 * Times are in ms on the governors' clock.
 */
final class EndpointHistory {
    private static final double SAME_START_TOLERANCE_MILLIS = 1;
    private static final double WARM_UP_MILLIS = 8 * TimeWindows.WINDOW_MILLIS;
    private static final double REMOVAL_TOLERANCE_MILLIS = 4 * TimeWindows.WINDOW_MILLIS;

    private final List<EndpointRecord> records = new ArrayList<>();
    private final Map<Long, EndpointRecord> lastRecordByEndpoint = new HashMap<>();

    /**
     * Adds a record if it differs from the last record of the endpoint. Equal records are common,
     * because several governors record the same list.
     */
    void add(EndpointRecord current) {
        EndpointRecord previous = lastRecordByEndpoint.put(current.endpointId(), current);
        if (previous == null
                || previous.state() != current.state()
                || Math.abs(previous.startedAt() - current.startedAt())
                        > SAME_START_TOLERANCE_MILLIS) {
            records.add(current);
        }
    }

    /** Returns all added records, in the order in which they were added. */
    List<EndpointRecord> records() {
        return records;
    }

    /** Returns the zone of an endpoint; empty if the endpoint was never listed. */
    OptionalInt zoneOf(long endpointId) {
        EndpointRecord last = lastRecordByEndpoint.get(endpointId);
        return last == null ? OptionalInt.empty() : OptionalInt.of(last.zone());
    }

    /**
     * Returns the start times of the endpoint's processes, ascending. Nearly equal times are not
     * merged.
     */
    double[] startTimes(long endpointId) {
        return records.stream()
                .filter(record -> record.endpointId() == endpointId && record.startedAt() > 0)
                .mapToDouble(EndpointRecord::startedAt)
                .sorted()
                .toArray();
    }

    /**
     * Returns whether the endpoint was warming up at a time. A start up to one window later counts
     * as well.
     */
    boolean isWarmingUp(long endpointId, double at) {
        return records.stream()
                .anyMatch(
                        record ->
                                record.endpointId() == endpointId
                                        && record.startedAt() > 0
                                        && record.startedAt() <= at + TimeWindows.WINDOW_MILLIS
                                        && at - record.startedAt() < WARM_UP_MILLIS);
    }

    /** Returns whether the endpoint list changed the endpoint to unavailable around a time. */
    boolean wasUnavailableNear(long endpointId, double at) {
        return records.stream()
                .anyMatch(
                        record ->
                                record.endpointId() == endpointId
                                        && record.state() != EndpointState.AVAILABLE
                                        && Math.abs(record.at() - at) < REMOVAL_TOLERANCE_MILLIS);
    }
}
