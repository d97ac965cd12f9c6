package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Desired state of each proxy: the resources that the proxy should hold according to its bindings
 * and the ordered tables.
 */
final class DesiredState {
    /**
     * Version of clusters, and of the endpoints resource of a table whose entries are separate
     * resources.
     */
    private static final String PRESENT_VERSION = "1";

    private final ResourceCatalog catalog;

    DesiredState(ResourceCatalog catalog) {
        this.catalog = catalog;
    }

    /** Returns the resource that the proxy should hold at present; null if it should hold none. */
    RoutingResource resource(ProxyStream stream, ResourceName name) {
        return switch (name.type()) {
            case CLUSTER -> presenceResource(stream, name);
            case ENDPOINTS ->
                    stream.isIncremental
                            ? presenceResource(stream, name)
                            : catalog.fullTable(name.table());
            case LINE -> entry(stream, name);
            case ROUTE -> route(stream, name);
        };
    }

    private RoutingResource presenceResource(ProxyStream stream, ResourceName name) {
        return requiredClusters(stream).contains(name.table())
                ? new RoutingResource(name, PRESENT_VERSION, List.of(), List.of())
                : null;
    }

    private RoutingResource entry(ProxyStream stream, ResourceName name) {
        if (stream.isBoundTo(name.table())) {
            return catalog.desiredEntry(
                    catalog.table(name.table()), name, stream.installed().contains(name));
        }
        String version = stream.installed().version(name);
        if (stream.isBound() || version == null) {
            return null;
        }
        // Another governor wrote the entry, and the proxy is not bound here yet: this governor
        // decides only on the health status.
        boolean ejected = catalog.isEjected(name.endpointId());
        return RoutingResource.entry(name, parseWeight(version), ejected);
    }

    /** Parses the weight from a version; returns 1 if the version contains no weight. */
    private static int parseWeight(String version) {
        try {
            return Math.max(1, Integer.parseInt(version.substring(1)));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return 1;
        }
    }

    private RoutingResource route(ProxyStream stream, ResourceName name) {
        if (!stream.isBound()) {
            return null;
        }
        List<RoutingResource.RouteRule> rules = new ArrayList<>();
        stream.bindings()
                .forEach(
                        (requestClass, table) -> rules.add(catalog.routeRule(requestClass, table)));
        String version =
                rules.stream()
                        .map(RoutingResource.RouteRule::version)
                        .collect(Collectors.joining(","));
        return new RoutingResource(name, version, List.of(), rules);
    }

    /**
     * Returns the tables that the proxy is bound to and the tables that its current route still
     * uses.
     */
    Set<Integer> requiredClusters(ProxyStream stream) {
        Set<Integer> tables = stream.boundTables();
        boolean routeChanging = stream.isUnsettled(ResourceName.ROUTE) || !stream.isBound();
        for (ResourceName cluster : stream.installed().clusters()) {
            if (routeChanging || stream.installed().routeUses(cluster.table())) {
                tables.add(cluster.table());
            }
        }
        return tables;
    }

    /**
     * Returns the clusters that the proxy holds and that no route uses any longer; empty while the
     * route is changing.
     */
    List<ResourceName> unusedClusters(ProxyStream stream) {
        if (!stream.isBound() || stream.isUnsettled(ResourceName.ROUTE)) {
            return List.of();
        }
        Set<Integer> requiredTables = requiredClusters(stream);
        return stream.installed().clusters().stream()
                .filter(cluster -> !requiredTables.contains(cluster.table()))
                .toList();
    }

    /** Returns all clusters that the proxy should hold, for a state-of-the-world update. */
    List<RoutingResource> clusters(ProxyStream stream) {
        List<RoutingResource> clusters = new ArrayList<>();
        for (int table : requiredClusters(stream)) {
            clusters.add(resource(stream, ResourceName.cluster(table)));
        }
        return clusters;
    }

    /**
     * Returns the number of entries that may have to be sent to a proxy. A table that can only be
     * sent in full counts with all its entries.
     */
    int pendingEntries(ProxyStream stream) {
        int entries = 0;
        for (ResourceType type : ResourceType.values()) {
            Set<ResourceName> names = stream.pending().ofType(type).keySet();
            if (type == ResourceType.ENDPOINTS && !stream.isIncremental) {
                for (ResourceName name : names) {
                    entries += Math.max(1, catalog.table(name.table()).entryCount());
                }
            } else if (type == ResourceType.ROUTE) {
                entries += names.size() * Math.max(1, stream.bindings().size());
            } else {
                entries += names.size();
            }
        }
        return entries;
    }
}
