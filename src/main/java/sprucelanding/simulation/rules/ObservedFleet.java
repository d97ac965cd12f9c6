package sprucelanding.simulation.rules;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The knowledge that proxies and governors could have at the time of the last event: the governor
 * that each proxy is joined to, and the endpoints that discovery reported to each governor. Times
 * are in milliseconds on the clock of the events.
 */
final class ObservedFleet {
    /** Greatest expected delay between an event at a socket and its record, on a busy machine. */
    static final double RECORDING_DELAY_MILLIS = 20;

    /**
     * An endpoint as discovery reported it to a governor.
     *
     * @param ready whether requests may be sent to the endpoint
     * @param since time of the last report that changed the endpoint's state
     * @param startedAt start of the endpoint's process
     */
    record ListedEndpoint(boolean ready, double since, double startedAt) {}

    /** A proxy's connection to a governor. */
    static final class ProxyConnection {
        private OptionalInt governor = OptionalInt.empty();
        private double joinedAt;
        private double readingChangedAt;
        private boolean reading = true;

        /** Returns the governor that the proxy is joined to; empty if there is none. */
        OptionalInt governor() {
            return governor;
        }

        boolean isJoinedTo(int number) {
            return governor.isPresent() && governor.getAsInt() == number;
        }

        boolean isReading() {
            return reading;
        }

        /**
         * Returns the earliest time at which the proxy could learn of a change at {@code
         * changedAt}: the change itself, the proxy's join or the last time when the proxy resumed
         * reading.
         */
        double informedAt(double changedAt) {
            return Math.max(changedAt, Math.max(joinedAt, readingChangedAt));
        }
    }

    private OptionalDouble startedAt = OptionalDouble.empty();
    private final Map<Integer, ProxyConnection> proxies = new HashMap<>();
    private final Map<Integer, Map<Long, ListedEndpoint>> endpointsByGovernor = new HashMap<>();

    /** Updates the state of proxies and endpoints with the next event. */
    void apply(TraceEvent event) {
        if (event instanceof TraceEvent.EndpointReported reported) {
            endpointReported(reported);
        } else if (event instanceof TraceEvent.EndpointListReported reported) {
            endpointListReported(reported);
        } else if (event instanceof TraceEvent.ProxyJoined joined) {
            ProxyConnection connection = connection(joined.proxy());
            connection.governor = OptionalInt.of(joined.governor());
            connection.joinedAt = joined.at();
        } else if (event instanceof TraceEvent.ProxyLeft left) {
            connection(left.proxy()).governor = OptionalInt.empty();
        } else if (event instanceof TraceEvent.ReadingChanged changed) {
            ProxyConnection connection = connection(changed.proxy());
            connection.reading = changed.reading();
            connection.readingChangedAt = changed.at();
        }
    }

    private void endpointReported(TraceEvent.EndpointReported reported) {
        Map<Long, ListedEndpoint> endpoints = endpointsOf(reported.governor());
        ListedEndpoint previous = endpoints.get(reported.endpointId());
        endpoints.put(
                reported.endpointId(),
                afterReport(previous, reported.ready(), reported.at(), reported.startedAt()));
    }

    private void endpointListReported(TraceEvent.EndpointListReported reported) {
        Map<Long, ListedEndpoint> endpoints = endpointsOf(reported.governor());
        for (long id : List.copyOf(endpoints.keySet())) {
            if (!reported.endpointIds().contains(id)) {
                ListedEndpoint previous = endpoints.get(id);
                endpoints.put(
                        id, afterReport(previous, false, reported.at(), previous.startedAt()));
            }
        }
    }

    private static ListedEndpoint afterReport(
            ListedEndpoint previous, boolean ready, double at, double started) {
        boolean isUnchanged =
                previous != null && previous.ready() == ready && previous.startedAt() == started;
        return isUnchanged ? previous : new ListedEndpoint(ready, at, started);
    }

    private Map<Long, ListedEndpoint> endpointsOf(int governor) {
        return endpointsByGovernor.computeIfAbsent(governor, key -> new HashMap<>());
    }

    ProxyConnection connection(int proxy) {
        return proxies.computeIfAbsent(proxy, key -> new ProxyConnection());
    }

    /**
     * Returns the last report of an endpoint to a proxy's governor; empty if the proxy has no
     * governor or the governor received no report.
     */
    Optional<ListedEndpoint> listedEndpoint(int proxy, long endpointId) {
        OptionalInt governor = connection(proxy).governor();
        return governor.isPresent()
                ? Optional.ofNullable(endpointsOf(governor.getAsInt()).get(endpointId))
                : Optional.empty();
    }

    /** Returns the governors to which discovery reported a ready endpoint that is warm. */
    Set<Integer> governorsWithWarmEndpoint(double now, double warmupMillis) {
        Set<Integer> governors = new HashSet<>();
        endpointsByGovernor.forEach(
                (governor, endpoints) -> {
                    if (hasWarmEndpoint(endpoints.values(), now, warmupMillis)) {
                        governors.add(governor);
                    }
                });
        return governors;
    }

    private static boolean hasWarmEndpoint(
            Collection<ListedEndpoint> endpoints, double now, double warmupMillis) {
        return endpoints.stream()
                .anyMatch(listed -> listed.ready() && now - listed.startedAt() >= warmupMillis);
    }

    /** Sets the start of the trace, which {@link #seconds} subtracts from times. */
    void startAt(double at) {
        startedAt = OptionalDouble.of(at);
    }

    boolean isStarted() {
        return startedAt.isPresent();
    }

    /** Converts a time to seconds since the start of the trace. */
    double seconds(double at) {
        return (at - startedAt.getAsDouble()) / 1000;
    }
}
