package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import sprucelanding.control.discovery.EndpointList;
import sprucelanding.control.discovery.ListedEndpoint;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Service discovery on virtual time. Sends the full endpoint list to a governor that starts to
 * watch, and then each change. A fault can delay the changes.
 */
final class EmulatedDiscovery {
    /** Time after a restart until a governor's watch is opened again. */
    private static final double WATCH_REOPEN_DELAY_MILLIS = 500;

    /**
     * Host of all endpoints. The emulator does not use addresses, but the addresses must be
     * distinct. Each endpoint therefore has its own port.
     */
    private static final String HOST = "10.0.0.1";

    private final EmulatedFleet fleet;
    private final Map<Long, ListedEndpoint> entries = new LinkedHashMap<>();
    private long version = 1;
    private double delayMillis;

    EmulatedDiscovery(EmulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Sets the delay of later updates, in ms. */
    void setDelay(double millis) {
        delayMillis = millis;
    }

    /** Starts the watch of a governor, which receives the full list. */
    void open(EmulatedGovernor governor) {
        fleet.clock.scheduleAfter(
                2 * EmulatedNetwork.HOP_MILLIS,
                () -> {
                    if (!governor.isAlive()) {
                        return;
                    }
                    governor.submit(core -> core.core().discoveryConnected());
                    double now = fleet.clock.now();
                    List<ListedEndpoint> listed = List.copyOf(entries.values());
                    fleet.record(
                            new TraceEvent.EndpointListReported(
                                    now,
                                    governor.number,
                                    listed.stream()
                                            .map(ListedEndpoint::id)
                                            .collect(Collectors.toSet())));
                    send(governor, listed, true);
                });
    }

    private void send(
            EmulatedGovernor governor, Collection<ListedEndpoint> entries, boolean complete) {
        double now = fleet.clock.now();
        entries.forEach(
                entry ->
                        fleet.record(
                                new TraceEvent.EndpointReported(
                                        now,
                                        governor.number,
                                        entry.id(),
                                        entry.state() == ListedEndpoint.State.READY,
                                        entry.startEpochMillis())));
        governor.onDiscoveryUpdate(
                EndpointList.formatUpdate(version, complete, entries, fleet.zones, fleet.kinds));
    }

    /** Sets the state of endpoints after a time and the current delay. */
    void scheduleUpdate(
            List<EmulatedEndpoint> endpoints, ListedEndpoint.State state, double afterMillis) {
        if (afterMillis + delayMillis > 0) {
            fleet.clock.scheduleAfter(afterMillis + delayMillis, () -> update(endpoints, state));
        } else {
            update(endpoints, state);
        }
    }

    private void update(List<EmulatedEndpoint> endpoints, ListedEndpoint.State state) {
        List<ListedEndpoint> changes = new ArrayList<>();
        for (EmulatedEndpoint endpoint : endpoints) {
            ListedEndpoint entry =
                    new ListedEndpoint(
                            endpoint.id,
                            HOST,
                            1 + endpoint.number,
                            endpoint.zone,
                            endpoint.kind,
                            1,
                            endpoint.startedAt(),
                            state);
            ListedEndpoint previous =
                    state == ListedEndpoint.State.GONE
                            ? entries.remove(endpoint.id)
                            : entries.put(endpoint.id, entry);
            if (state != ListedEndpoint.State.GONE || previous != null) {
                changes.add(entry);
            }
        }
        if (!changes.isEmpty()) {
            version++;
            fleet.governors.stream()
                    .filter(governor -> governor.isAlive() && governor.watchesDiscovery())
                    .forEach(governor -> send(governor, changes, false));
        }
    }

    /** Restarts service discovery: all watches fail and are opened again. */
    void restart() {
        fleet.governors.stream()
                .filter(governor -> governor.isAlive() && governor.watchesDiscovery())
                .forEach(
                        governor -> {
                            governor.submit(
                                    core ->
                                            core.core()
                                                    .discoveryFailed(
                                                            "service discovery restarts", true));
                            fleet.clock.scheduleAfter(
                                    WATCH_REOPEN_DELAY_MILLIS, () -> open(governor));
                        });
    }
}
