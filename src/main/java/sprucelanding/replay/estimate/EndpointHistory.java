package sprucelanding.replay.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import sprucelanding.control.decision.EndpointState;

/** What the endpoint list told of each endpoint: its zone, its states and its starts. */
final class EndpointHistory {
    private static final double SAME_START_TOLERANCE_MILLIS = 1;
    private static final double WARM_UP_MILLIS = 8 * TimeWindows.MILLIS;
    private static final double REMOVAL_TOLERANCE_MILLIS = 4 * TimeWindows.MILLIS;

    private final List<EndpointRecord> records = new ArrayList<>();
    private final Map<Long, EndpointRecord> lastRecordByEndpoint = new HashMap<>();

    /**
     * Keeps a record if it differs from the endpoint's last one; several governors tell the same.
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

    /** All changes, in the order in which they were added. */
    List<EndpointRecord> records() {
        return records;
    }

    /** The zone of an endpoint; empty if it was never listed. */
    OptionalInt zoneOf(long endpointId) {
        EndpointRecord last = lastRecordByEndpoint.get(endpointId);
        return last == null ? OptionalInt.empty() : OptionalInt.of(last.zone());
    }

    /** When the endpoint's processes started, ascending, in ms; nearly equal times are kept. */
    double[] startTimes(long endpointId) {
        return records.stream()
                .filter(record -> record.endpointId() == endpointId && record.startedAt() > 0)
                .mapToDouble(EndpointRecord::startedAt)
                .sorted()
                .toArray();
    }

    /** Whether the endpoint started so shortly before a time that it was still warming up. */
    boolean isWarmingUp(long endpointId, double at) {
        return records.stream()
                .anyMatch(
                        record ->
                                record.endpointId() == endpointId
                                        && record.startedAt() > 0
                                        && record.startedAt() <= at + TimeWindows.MILLIS
                                        && at - record.startedAt() < WARM_UP_MILLIS);
    }

    /** Whether the list had the endpoint as unavailable around a time. */
    boolean wasUnavailableNear(long endpointId, double at) {
        return records.stream()
                .anyMatch(
                        record ->
                                record.endpointId() == endpointId
                                        && record.state() != EndpointState.AVAILABLE
                                        && Math.abs(record.at() - at) < REMOVAL_TOLERANCE_MILLIS);
    }
}
