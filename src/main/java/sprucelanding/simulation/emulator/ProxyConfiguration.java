package sprucelanding.simulation.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.control.delivery.ProxyStream;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceType;
import sprucelanding.control.delivery.ResourceUpdate;
import sprucelanding.control.delivery.RoutingResource;
import sprucelanding.simulation.model.ProxyTables;
import sprucelanding.simulation.model.Route;
import sprucelanding.simulation.model.WeightedEndpoint;

/**
 * Configuration of a proxy: the versions of the resources that the proxy holds, and the tables
 * built from the resources.
 */
final class ProxyConfiguration {
    /** Admitted rate from which on an admission level means no limit. */
    private static final double UNLIMITED_REQUESTS_PER_SECOND = 1e6;

    private static final String BASELINE_CLUSTER = clusterName(0);
    private static final Route.RetryMode[] RETRY_MODES = Route.RetryMode.values();

    private final EmulatedFleet fleet;
    private final ProxyStream.UpdateMode updateMode;
    private final Map<ResourceName, String> versions = new LinkedHashMap<>();
    private ProxyTables<EmulatedEndpoint> tables = new ProxyTables<>();

    /** Whether any update has been applied. */
    private boolean hasAppliedUpdate;

    /**
     * Changes to the proxy's subscriptions that an update makes necessary.
     *
     * @param assignmentSubscriptions tables to whose assignments the proxy subscribes
     * @param entrySubscriptions tables to whose entries the proxy subscribes
     * @param removedTables tables that the update removed
     */
    record AppliedUpdate(
            List<Integer> assignmentSubscriptions,
            List<Integer> entrySubscriptions,
            List<Integer> removedTables) {
        private AppliedUpdate() {
            this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    ProxyConfiguration(EmulatedFleet fleet, ProxyStream.UpdateMode updateMode) {
        this.fleet = fleet;
        this.updateMode = updateMode;
    }

    /** Removes all resources and tables, and sets the static entries. */
    void reset(List<EmulatedEndpoint> staticEndpoints) {
        tables = new ProxyTables<>();
        versions.clear();
        hasAppliedUpdate = false;
        staticEndpoints.forEach(
                endpoint ->
                        tables.staticEntries.add(new WeightedEndpoint<>("", endpoint, 1, true)));
    }

    /** Returns the current tables. A reset replaces them by a new object. */
    ProxyTables<EmulatedEndpoint> tables() {
        return tables;
    }

    /** Returns whether the proxy still needs its first tables. */
    boolean isWithoutTables() {
        return switch (updateMode) {
            case STATE_OF_THE_WORLD -> !hasAppliedUpdate;
            case TRANSACTIONAL -> !versions.containsKey(ResourceName.ROUTE);
            default -> versions.isEmpty();
        };
    }

    /**
     * Returns a copy of the versions held, in the order in which the resources were first received.
     */
    Map<ResourceName, String> copyVersions() {
        return new LinkedHashMap<>(versions);
    }

    /**
     * Adds an entry for the first endpoint, as another NETCONF client would. The entry affects no
     * table.
     */
    void addForeignEntry() {
        versions.put(ResourceName.entry(0, fleet.endpoints.get(0).id), "d1");
    }

    /** Returns the route of a request class; null if there is none. */
    Route route(int requestClass) {
        return tables.routes.get(fleet.requestClasses.get(requestClass));
    }

    /** Applies an update message. */
    AppliedUpdate apply(ResourceUpdate message) {
        AppliedUpdate applied = new AppliedUpdate();
        message.resources.forEach(resource -> apply(resource, applied));
        message.removedNames.forEach(name -> remove(name, applied));
        if (message.isFullState) {
            Set<ResourceName> namesInMessage = new HashSet<>();
            message.resources.forEach(resource -> namesInMessage.add(resource.name()));
            List.copyOf(versions.keySet()).stream()
                    .filter(name -> name.type() == message.type && !namesInMessage.contains(name))
                    .forEach(name -> remove(name, applied));
        }
        hasAppliedUpdate = true;
        return applied;
    }

    private void apply(RoutingResource resource, AppliedUpdate applied) {
        ResourceName name = resource.name();
        boolean isNew = versions.put(name, resource.version()) == null;
        switch (name.type()) {
            case CLUSTER -> {
                entriesOf(name.table());
                if (isNew || updateMode == ProxyStream.UpdateMode.STATE_OF_THE_WORLD) {
                    applied.assignmentSubscriptions.add(name.table());
                }
            }
            case ENDPOINTS -> {
                if (updateMode == ProxyStream.UpdateMode.STATE_OF_THE_WORLD) {
                    Map<String, WeightedEndpoint<EmulatedEndpoint>> entries = new LinkedHashMap<>();
                    resource.entries().forEach(entry -> putEntry(entries, entry));
                    tables.clusters.put(clusterName(name.table()), entries);
                } else if (isNew) {
                    applied.entrySubscriptions.add(name.table());
                }
            }
            case LINE -> putEntry(entriesOf(name.table()), resource.entries().get(0));
            default -> tables.routes = routes(resource.rules());
        }
    }

    private static String clusterName(int table) {
        return "t" + table;
    }

    private Map<String, WeightedEndpoint<EmulatedEndpoint>> entriesOf(int table) {
        return tables.clusters.computeIfAbsent(
                clusterName(table), ignored -> new LinkedHashMap<>());
    }

    private void putEntry(
            Map<String, WeightedEndpoint<EmulatedEndpoint>> entries,
            RoutingResource.EndpointEntry entry) {
        EmulatedEndpoint endpoint = fleet.endpoint(entry.endpointId());
        if (endpoint != null) {
            entries.put(
                    endpoint.key,
                    new WeightedEndpoint<>("", endpoint, entry.weight(), !entry.isDraining()));
        }
    }

    private Map<String, Route> routes(List<RoutingResource.RouteRule> rules) {
        Map<String, Route> routes = new LinkedHashMap<>();
        for (RoutingResource.RouteRule rule : rules) {
            boolean byRate = fleet.admitsByRate;
            routes.put(
                    fleet.requestClasses.get(rule.requestClass()),
                    new Route(
                            clusterName(rule.table()),
                            byRate ? 1 : Math.min(1, rule.admissionLevel()),
                            byRate && rule.admissionLevel() < UNLIMITED_REQUESTS_PER_SECOND
                                    ? rule.admissionLevel()
                                    : Double.POSITIVE_INFINITY,
                            RETRY_MODES[rule.retryMode()]));
        }
        return routes;
    }

    private void remove(ResourceName name, AppliedUpdate applied) {
        versions.remove(name);
        if (name.type() == ResourceType.CLUSTER) {
            tables.clusters.remove(clusterName(name.table()));
            versions.keySet()
                    .removeIf(
                            other ->
                                    other.type() != ResourceType.ROUTE
                                            && other.table() == name.table());
            applied.removedTables.add(name.table());
        } else if (name.type() == ResourceType.LINE) {
            EmulatedEndpoint endpoint = fleet.endpoint(name.endpointId());
            Map<String, WeightedEndpoint<EmulatedEndpoint>> entries =
                    tables.clusters.get(clusterName(name.table()));
            if (entries != null && endpoint != null) {
                entries.remove(endpoint.key);
            }
        }
    }

    /** Sets the weights of a single table for all request classes, for a baseline policy. */
    void setWeights(Map<EmulatedEndpoint, Double> weights) {
        Map<String, WeightedEndpoint<EmulatedEndpoint>> entries = new LinkedHashMap<>();
        weights.forEach(
                (endpoint, weight) ->
                        entries.put(
                                endpoint.key, new WeightedEndpoint<>("", endpoint, weight, true)));
        tables.clusters.put(BASELINE_CLUSTER, entries);
        if (tables.routes.isEmpty()) {
            tables.routes = baselineRoutes();
        }
    }

    private Map<String, Route> baselineRoutes() {
        Map<String, Route> routes = new LinkedHashMap<>();
        for (int requestClass = 0; requestClass < fleet.requestClasses.size(); requestClass++) {
            routes.put(
                    fleet.requestClasses.get(requestClass),
                    new Route(
                            BASELINE_CLUSTER,
                            1,
                            Double.POSITIVE_INFINITY,
                            fleet.isIdempotent(requestClass)
                                    ? Route.RetryMode.ANY
                                    : Route.RetryMode.UNRUN));
        }
        return routes;
    }
}
