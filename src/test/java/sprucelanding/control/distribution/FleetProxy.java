package sprucelanding.control.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A proxy of {@link LimitedFleet}: what it holds, across its streams. Times are in ms. */
final class FleetProxy {
    final List<Map<Long, Double>> weightsByClass = new ArrayList<>();
    final Set<Long> ejected = new HashSet<>();

    /** Messages of the present stream that have not arrived, oldest first. */
    final Deque<ProxyUpdate> inFlight = new ArrayDeque<>();

    boolean isJoined;

    /** Changes when a stream begins or ends. */
    int stream;

    double joinedAt;
    double lastArrival;
    private final Deque<Double> writeTimes = new ArrayDeque<>();

    FleetProxy(int requestClasses) {
        for (int i = 0; i < requestClasses; i++) {
            weightsByClass.add(new TreeMap<>());
        }
    }

    void join(double now) {
        isJoined = true;
        stream++;
        joinedAt = now;
        lastArrival = now;
        writeTimes.clear();
    }

    void leave() {
        isJoined = false;
        inFlight.clear();
        stream++;
    }

    boolean hasNoTables() {
        return weightsByClass.stream().allMatch(Map::isEmpty);
    }

    /** Returns whether the proxy may send requests to the endpoint. */
    boolean holds(long endpoint) {
        return !ejected.contains(endpoint)
                && weightsByClass.stream().anyMatch(weights -> weights.containsKey(endpoint));
    }

    /** Counts a message; returns the number of messages of this stream within the span. */
    int messageWritten(double now, double span) {
        writeTimes.addLast(now);
        writeTimes.removeIf(written -> written <= now - span);
        return writeTimes.size();
    }

    void apply(ProxyUpdate update) {
        for (TableUpdate table : update.tables()) {
            table.requestClasses.stream()
                    .mapToObj(weightsByClass::get)
                    .forEach(weights -> apply(table, weights));
        }
        update.ejected().forEach(endpoint -> ejected.add(endpoint.id));
        update.restored().forEach(endpoint -> ejected.remove(endpoint.id));
    }

    private static void apply(TableUpdate table, Map<Long, Double> weights) {
        if (table.isFull) {
            weights.clear();
        }
        table.weights.forEach(
                (endpoint, weight) -> {
                    if (weight > 0) {
                        weights.put(endpoint.id, weight);
                    } else {
                        weights.remove(endpoint.id);
                    }
                });
    }
}
