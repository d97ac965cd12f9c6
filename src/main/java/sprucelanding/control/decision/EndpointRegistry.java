package sprucelanding.control.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Registry of the endpoints that the endpoint list has contained, and of their states. When an
 * endpoint is removed, the registry reports to {@link DrainTracker} each proxy whose tables send
 * traffic to the endpoint.
 */
final class EndpointRegistry {
    /** Time for which a removed endpoint is kept. An endpoint that is in a table is kept longer. */
    static final double REMOVED_ENDPOINT_RETENTION_MS = 60_000;

    /**
     * Number of periodic updates for which a governor observes after its start, before it takes
     * over proxies that another governor configured.
     */
    static final int OBSERVATION_UPDATES = 1;

    private final EventTime time;
    private final RoutingTables tables;
    private final DrainTracker drains;
    private final Consumer<Endpoint> updateListener;
    private final Map<Long, Endpoint> endpoints = new LinkedHashMap<>();
    private List<Endpoint> available = List.of();

    /** Endpoints that the current list update contains. */
    private final Set<Endpoint> listedInUpdate = new LinkedHashSet<>();

    private boolean isUpdateComplete;
    private boolean isFirstList;
    private boolean hasCompleteList;

    private boolean softRemoval;
    private boolean changed;
    private boolean listUpdated;

    /**
     * Creates a registry without endpoints.
     *
     * @param updateListener called with each endpoint that a list update contains, and with each
     *     known endpoint that a complete list does not contain
     */
    EndpointRegistry(
            EventTime time,
            RoutingTables tables,
            DrainTracker drains,
            Consumer<Endpoint> updateListener) {
        this.time = time;
        this.tables = tables;
        this.drains = drains;
        this.updateListener = updateListener;
    }

    /**
     * Configures the handling of endpoints that disappear from the list.
     *
     * @param softRemoval whether an endpoint that disappears from the list stays in use while it
     *     passes health checks, because the list may be wrong
     */
    void configure(boolean softRemoval) {
        this.softRemoval = softRemoval;
    }

    /** Returns the endpoint with the given identifier, or null if there is none. */
    Endpoint find(long id) {
        return endpoints.get(id);
    }

    Collection<Endpoint> all() {
        return endpoints.values();
    }

    /** Returns the endpoints that were available at the last {@link #refreshAvailable}. */
    List<Endpoint> available() {
        return available;
    }

    int size() {
        return endpoints.size();
    }

    /**
     * Begins a list update.
     *
     * @param complete whether the update is a complete list, so that other endpoints are gone
     * @param first whether the update is the first list since the start
     */
    void listStarted(boolean complete, boolean first) {
        isUpdateComplete = complete;
        isFirstList = first;
        listedInUpdate.clear();
        changed = true;
        listUpdated = true;
    }

    /**
     * Adds or updates one endpoint of the current list update. The parameters are those of {@link
     * RoutingController#endpointListed}.
     */
    void listed(
            long id,
            int zone,
            int machineKind,
            double weight,
            double startedAt,
            EndpointState state) {
        boolean known = endpoints.containsKey(id);
        Endpoint endpoint = endpoints.computeIfAbsent(id, Endpoint::new);
        boolean isAvailable = state == EndpointState.AVAILABLE;
        // No other governor can have ejected an endpoint that this governor has watched since its
        // first listing and that has always been available.
        boolean mayHaveBeenUnavailable =
                startedAt > 0 && (known || time.updateCount() <= OBSERVATION_UPDATES);
        if (!isAvailable || mayHaveBeenUnavailable) {
            endpoint.setMayBeEjectedElsewhere();
        }
        if (isAvailable && (!endpoint.isAvailable() || startedAt > endpoint.startedAt())) {
            endpoint.setEnteringService(true);
        }
        endpoint.setListing(zone, machineKind, weight, startedAt);
        stateReported(endpoint, state);
        listedInUpdate.add(endpoint);
    }

    /** Ends the current list update. After a complete list, all other endpoints are gone. */
    void listCompleted() {
        if (isUpdateComplete) {
            hasCompleteList = true;
            endpoints.values().stream()
                    .filter(endpoint -> !listedInUpdate.contains(endpoint))
                    .forEach(endpoint -> stateReported(endpoint, EndpointState.GONE));
        }
    }

    /**
     * Applies a listed state. If soft removal is configured, an endpoint that disappears from the
     * list becomes missing and stays in use, provided that it is responsive and not ejected.
     */
    private void stateReported(Endpoint endpoint, EndpointState reported) {
        updateListener.accept(endpoint);
        if (reported != EndpointState.AVAILABLE) {
            endpoint.setMayBeEjectedElsewhere();
        }
        boolean isResponding =
                endpoint.isAvailable()
                        && !endpoint.healthChecks().isUnresponsive()
                        && !endpoint.isEjected();
        boolean isFirstReport = endpoint.removedAt() == EventTime.NEVER;
        if (endpoint.isAvailable() || isFirstReport) {
            endpoint.setRemovedAt(time.now());
        }
        boolean becomesMissing = reported == EndpointState.GONE && softRemoval && isResponding;
        enterState(endpoint, becomesMissing ? EndpointState.MISSING : reported);
    }

    private void enterState(Endpoint endpoint, EndpointState state) {
        endpoint.setState(state);
        if (endpoint.isAvailable()) {
            drains.endpointRestored(endpoint.id);
            return;
        }
        drains.endpointRemoved(endpoint.id, time.now());
        for (RoutingTable table : tables.all()) {
            if (table.sendsTrafficTo(endpoint)) {
                table.users().forEach(proxy -> drains.removalRequired(proxy.id, endpoint.id));
            }
        }
    }

    /** Corrects a start time that was based on a wrong clock. The endpoint was not restarted. */
    void startTimeCorrected(long id, double startedAt) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.setStartedAt(startedAt);
        }
    }

    /** Processes a health check result. A missed check makes a missing endpoint gone. */
    void healthCheckCompleted(Endpoint endpoint, HealthCheckResult result) {
        if (endpoint.state() == EndpointState.MISSING && result.isMissed()) {
            enterState(endpoint, EndpointState.GONE);
        }
        changed = true;
    }

    /** Returns whether endpoints have changed since the last call of this method. */
    boolean takeChanged() {
        boolean result = changed;
        changed = false;
        return result;
    }

    boolean hasChanged() {
        return changed;
    }

    /** Returns whether the list was updated since the last call of this method. */
    boolean takeListUpdated() {
        boolean result = listUpdated;
        listUpdated = false;
        return result;
    }

    /** Returns whether the tables have not yet been updated from the first list. */
    boolean isFirstList() {
        return isFirstList;
    }

    /** Returns whether there has been a complete list since the start. */
    boolean hasCompleteList() {
        return hasCompleteList;
    }

    /** Updates the result of {@link #available}. */
    void refreshAvailable() {
        available = endpoints.values().stream().filter(Endpoint::isAvailable).toList();
    }

    /** Records that the tables have been updated from the list. */
    void tablesUpdated() {
        available.forEach(endpoint -> endpoint.setEnteringService(false));
        isFirstList = false;
    }

    /**
     * Removes endpoints that have been gone for the retention time and are in no table. Their
     * identifiers are never used again.
     *
     * @return the removed endpoints
     */
    Collection<Endpoint> removeExpired() {
        Set<Endpoint> expired = new LinkedHashSet<>(endpoints.values());
        expired.removeIf(
                endpoint ->
                        endpoint.state() != EndpointState.GONE
                                || time.now() - endpoint.removedAt() < REMOVED_ENDPOINT_RETENTION_MS
                                || isInAnyTable(endpoint));
        listedInUpdate.removeAll(expired);
        expired.forEach(endpoint -> drains.endpointForgotten(endpoint.id));
        tables.endpointsForgotten(expired);
        endpoints.values().removeAll(expired);
        return expired;
    }

    /**
     * Returns whether a table as last sent gives traffic to the endpoint. The sum of its weights
     * does not tell, because of rounding errors.
     */
    private boolean isInAnyTable(Endpoint endpoint) {
        return tables.all().stream().anyMatch(table -> table.sendsTrafficTo(endpoint));
    }
}
