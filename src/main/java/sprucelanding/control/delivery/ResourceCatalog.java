package sprucelanding.control.delivery;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Catalog of all routing tables as ordered, and of the ejected endpoints. All proxies share it. */
final class ResourceCatalog {
    private final Map<Integer, TableResources> tables = new LinkedHashMap<>();
    private final Set<Long> ejectedEndpoints = new HashSet<>();

    /** Returns the resources of a table, creating an empty table if there is none. */
    TableResources table(int table) {
        return tables.computeIfAbsent(table, TableResources::new);
    }

    void clearTable(int table) {
        tables.remove(table);
    }

    /**
     * Returns the entry that a proxy bound to this table should hold; null if it should hold none.
     * The entry of an ejected endpoint is set to draining at proxies that hold it and is not added
     * at other proxies.
     */
    RoutingResource desiredEntry(TableResources table, ResourceName name, boolean isInstalled) {
        RoutingResource entry = table.entry(name);
        if (entry == null || !isEjected(name.endpointId())) {
            return entry;
        }
        return isInstalled ? table.drainingEntry(name) : null;
    }

    boolean isEjected(long endpointId) {
        return !ejectedEndpoints.isEmpty() && ejectedEndpoints.contains(endpointId);
    }

    void setEjected(long endpointId, boolean ejected) {
        if (ejected) {
            ejectedEndpoints.add(endpointId);
        } else {
            ejectedEndpoints.remove(endpointId);
        }
        tables.values().forEach(TableResources::ejectionsChanged);
    }

    /** Returns the full table, for a state-of-the-world stream. */
    RoutingResource fullTable(int table) {
        return table(table).fullTable(ejectedEndpoints);
    }

    /** Returns the rule that sends a request class to a table. */
    RoutingResource.RouteRule routeRule(int requestClass, int table) {
        Admission admission = table(table).admission(requestClass);
        return new RoutingResource.RouteRule(
                requestClass, table, admission.level(), admission.retryMode());
    }
}
