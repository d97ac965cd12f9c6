package sprucelanding.simulation.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * A plain proxy: forwards its clients' requests as its tables say, which one governor at a time
 * configures. The parts with one job each: {@link RequestForwarder} (data path), {@link
 * GovernorSession} (control channel), {@link ProxyConfiguration} (resources and tables) and {@link
 * ProxyLoadStats} (load reports).
 */
final class EmulatedProxy {
    private static final int STOPPED_STATUS = 0;

    final int number;
    final int zone;

    /** Requests per second that it expects. */
    final double expectedRate;

    private final EmulatedFleet fleet;
    private final ProxyConfiguration configuration;
    private final RequestForwarder forwarder;
    private final GovernorSession session;

    /** Healthy entries by request class, as recorded last. */
    private final Map<Integer, Integer> reportedPickable = new HashMap<>();

    private boolean stopped = true;

    /**
     * Creates a proxy that has not been started.
     *
     * @param governors in the order in which it connects to them; empty for none
     */
    EmulatedProxy(
            EmulatedFleet fleet,
            int number,
            int zone,
            double expectedRate,
            ProxyStream.UpdateMode updateMode,
            List<EmulatedGovernor> governors,
            long seed) {
        this.fleet = fleet;
        this.number = number;
        this.zone = zone;
        this.expectedRate = expectedRate;
        this.configuration = new ProxyConfiguration(fleet, updateMode);
        ProxyLoadStats loadStats = new ProxyLoadStats(fleet.endpoints, fleet.requestClasses.size());
        this.forwarder = new RequestForwarder(fleet, this, configuration, loadStats, seed);
        this.session =
                new GovernorSession(
                        fleet, this, updateMode, governors, configuration, loadStats, seed + 1);
    }

    /** Starts its process, with static entries of these endpoints. */
    void start(List<EmulatedEndpoint> staticEndpoints) {
        stopped = false;
        configuration.reset(staticEndpoints);
        forwarder.reset();
        reportedPickable.clear();
        tablesChanged();
        session.connect();
    }

    void crash() {
        stopped = true;
        session.disconnect();
        forwarder.closeIdleConnections();
    }

    boolean isStopped() {
        return stopped;
    }

    // Faults.

    void setIsolated(boolean enabled) {
        session.setIsolated(enabled);
    }

    void rejectNext(int messages) {
        session.rejectNext(messages);
    }

    void dropResponses(int responses) {
        session.dropResponses(responses);
    }

    void setResponseDelay(double millis) {
        session.setResponseDelay(millis);
    }

    void setReadsPaused(boolean enabled) {
        session.setReadsPaused(enabled);
    }

    void driftConfiguration() {
        session.driftConfiguration();
    }

    // Requests.

    /**
     * Takes a client's request.
     *
     * @param deadline when the client gives this attempt up
     */
    void handleRequest(
            RequestForwarder.ResponseListener client,
            int requestClass,
            long id,
            double work,
            double deadline) {
        if (stopped) {
            client.onResponse(STOPPED_STATUS, false);
            return;
        }
        forwarder.handleRequest(client, requestClass, id, work, deadline);
    }

    /** An endpoint broke all connections. */
    void clearIdleConnections(EmulatedEndpoint endpoint) {
        forwarder.clearIdleConnections(endpoint);
    }

    // Tables.

    /** Sets its tables without a governor: a baseline. */
    void setWeights(Map<EmulatedEndpoint, Double> weights) {
        configuration.setWeights(weights);
        tablesChanged();
    }

    /** The share of a request class that it admits; 1 if it has no route. */
    double admittedShare(int requestClass) {
        Route route = configuration.route(requestClass);
        return route == null ? 1 : route.admittedShare();
    }

    /** Its tables changed. */
    void tablesChanged() {
        ProxyTables<EmulatedEndpoint> tables = configuration.tables();
        tables.rebuildWeights();
        for (int requestClass = 0; requestClass < fleet.requestClasses.size(); requestClass++) {
            int pickable = tables.pickableCount(fleet.requestClasses.get(requestClass));
            Integer previous = reportedPickable.put(requestClass, pickable);
            if (previous == null || previous == 0 != (pickable == 0)) {
                fleet.record(
                        new TraceEvent.TableChanged(
                                fleet.clock.now(), number, requestClass, pickable));
            }
        }
        if (!tables.routes.isEmpty()) {
            forwarder.closeUnlistedConnections();
        }
    }
}
