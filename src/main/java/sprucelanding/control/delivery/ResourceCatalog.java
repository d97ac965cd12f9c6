package sprucelanding.control.delivery;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** All routing tables as ordered, shared by all proxies; and the endpoints ejected from all. */
final class ResourceCatalog {
    private final Map<Integer, TableResources> tables = new LinkedHashMap<>();
    private final Set<Long> ejectedEndpoints = new HashSet<>();

    /** The resources of a table, which begins empty. */
    TableResources table(int table) {
        return tables.computeIfAbsent(table, TableResources::new);
    }

    void clearTable(int table) {
        tables.remove(table);
    }

    /**
     * The entry as a proxy on this table should hold it; null for none. One of an ejected endpoint
     * drains where it is held and is not added elsewhere.
     */
    RoutingResource desiredEntry(TableResources table, ResourceName name, boolean held) {
        RoutingResource entry = table.entry(name);
        if (entry == null || !isEjected(name.endpointId())) {
            return entry;
        }
        return held ? table.drainingEntry(name) : null;
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

    /** The whole table, for a state-of-the-world stream. */
    RoutingResource fullTable(int table) {
        return table(table).fullTable(ejectedEndpoints);
    }

    /** The rule that sends a request class to a table. */
    RoutingResource.RouteRule routeRule(int requestClass, int table) {
        Admission admission = table(table).admission(requestClass);
        return new RoutingResource.RouteRule(
                requestClass, table, admission.level(), admission.retryMode());
    }
}
