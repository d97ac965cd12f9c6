package sprucelanding.simulation.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.rules.TraceEvent;

/**
 * Plain proxy that forwards its clients' requests according to its tables. One governor at a time
 * configures the tables. The proxy consists of {@link RequestForwarder} (data path), {@link
 * GovernorSession} (control channel), {@link ProxyConfiguration} (resources and tables) and {@link
 * ProxyLoadStats} (load reports).
 */
final class EmulatedProxy {
    private static final int STOPPED_STATUS = 0;

    final int number;
    final int zone;

    /** Requests per second that the proxy expects. */
    final double expectedRate;

    private final EmulatedFleet fleet;
    private final ProxyConfiguration configuration;
    private final RequestForwarder forwarder;
    private final GovernorSession session;

    /**
     * Number of healthy entries by request class, as of the last call of {@link #tablesChanged}.
     */
    private final Map<Integer, Integer> healthyCountByClass = new HashMap<>();

    private boolean stopped = true;

    /**
     * Creates a proxy that has not been started.
     *
     * @param governors governors in the order in which the proxy connects to them; empty for none
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

    /** Starts the proxy's process with static entries for these endpoints. */
    void start(List<EmulatedEndpoint> staticEndpoints) {
        stopped = false;
        configuration.reset(staticEndpoints);
        forwarder.reset();
        healthyCountByClass.clear();
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
     * Handles a client's request.
     *
     * @param deadline time at which the client gives up this attempt
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

    /** Forgets the idle connections to an endpoint that broke all its connections. */
    void clearIdleConnections(EmulatedEndpoint endpoint) {
        forwarder.clearIdleConnections(endpoint);
    }

    // Tables.

    /** Sets the proxy's tables according to a baseline policy, without a governor. */
    void setWeights(Map<EmulatedEndpoint, Double> weights) {
        configuration.setWeights(weights);
        tablesChanged();
    }

    /** Returns the admitted share of a request class; 1 if the proxy has no route for the class. */
    double admittedShare(int requestClass) {
        Route route = configuration.route(requestClass);
        return route == null ? 1 : route.admittedShare();
    }

    /**
     * Updates the state derived from the tables after a change. Records the number of healthy
     * entries of a request class if the class gained its first or lost its last healthy entry, and
     * after a start of the proxy.
     */
    void tablesChanged() {
        ProxyTables<EmulatedEndpoint> tables = configuration.tables();
        tables.rebuildWeights();
        for (int requestClass = 0; requestClass < fleet.requestClasses.size(); requestClass++) {
            int healthyCount = tables.healthyEntryCount(fleet.requestClasses.get(requestClass));
            Integer previous = healthyCountByClass.put(requestClass, healthyCount);
            if (previous == null || previous == 0 != (healthyCount == 0)) {
                fleet.record(
                        new TraceEvent.TableChanged(
                                fleet.clock.now(), number, requestClass, healthyCount));
            }
        }
        if (!tables.routes.isEmpty()) {
            forwarder.closeUnlistedConnections();
        }
    }
}
