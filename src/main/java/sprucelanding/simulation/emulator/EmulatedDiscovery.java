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

/** The roster: what it learns it tells to all governors that watch, maybe late. */
final class EmulatedDiscovery {
    private static final double REOPEN_MILLIS = 500;
    private final EmulatedFleet fleet;
    private final Map<Long, ListedEndpoint> entries = new LinkedHashMap<>();
    private long version = 1;
    private double delayMillis;

    EmulatedDiscovery(EmulatedFleet fleet) {
        this.fleet = fleet;
    }

    void setDelay(double millis) {
        delayMillis = millis;
    }

    /** A governor begins to watch: it is told all. */
    void open(EmulatedGovernor governor) {
        fleet.clock.scheduleAfter(
                2 * EmulatedFleet.HOP_MILLIS,
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
                                        entry.startedAt())));
        governor.onDiscoveryUpdate(
                EndpointList.formatUpdate(version, complete, entries, fleet.zones, fleet.kinds));
    }

    void scheduleUpdate(
            List<EmulatedEndpoint> endpoints, ListedEndpoint.State stage, double afterMillis) {
        if (afterMillis + delayMillis > 0) {
            fleet.clock.scheduleAfter(afterMillis + delayMillis, () -> update(endpoints, stage));
        } else {
            update(endpoints, stage);
        }
    }

    private void update(List<EmulatedEndpoint> endpoints, ListedEndpoint.State stage) {
        List<ListedEndpoint> changes = new ArrayList<>();
        for (EmulatedEndpoint endpoint : endpoints) {
            ListedEndpoint entry =
                    new ListedEndpoint(
                            endpoint.id,
                            "10.0.0.1",
                            1 + endpoint.number,
                            endpoint.zone,
                            endpoint.kind,
                            1,
                            endpoint.startedAt(),
                            stage);
            ListedEndpoint previous =
                    stage == ListedEndpoint.State.GONE
                            ? entries.remove(endpoint.id)
                            : entries.put(endpoint.id, entry);
            if (stage != ListedEndpoint.State.GONE || previous != null) {
                changes.add(entry);
            }
        }
        if (!changes.isEmpty()) {
            version++;
            fleet.governorNodes.stream()
                    .filter(governor -> governor.isAlive() && governor.watchesDiscovery())
                    .forEach(governor -> send(governor, changes, false));
        }
    }

    void restart() {
        fleet.governorNodes.stream()
                .filter(governor -> governor.isAlive() && governor.watchesDiscovery())
                .forEach(
                        governor -> {
                            governor.submit(
                                    core ->
                                            core.core()
                                                    .discoveryFailed(
                                                            "the roster starts anew", true));
                            fleet.clock.scheduleAfter(REOPEN_MILLIS, () -> open(governor));
                        });
    }
}
