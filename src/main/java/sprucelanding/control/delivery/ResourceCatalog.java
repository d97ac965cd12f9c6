package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tables as ordered, shared by all proxies: lines and levels by table, and the replicas shut out of
 * all.
 */
final class ResourceCatalog {
    static final class TableResources {
        final int table;
        final Map<ResourceName, RoutingResource> entries = new LinkedHashMap<>();

        /** The same, for proxies that hold one and must let it drain. */
        final Map<ResourceName, RoutingResource> drainingEntries = new LinkedHashMap<>();

        /** All that are not withdrawn, for whole-state streams; null once that may have changed. */
        RoutingResource fullTable;

        /** By product: what is let in, and the retry mode. */
        final Map<Integer, double[]> admissionByClass = new TreeMap<>();

        TableResources(int table) {
            this.table = table;
        }
    }

    private static final double ADMIT_ALL = 1e6;
    private final Map<Integer, TableResources> tables = new LinkedHashMap<>();
    final Set<Long> ejectedEndpoints = new HashSet<>();

    TableResources table(int table) {
        return tables.computeIfAbsent(table, TableResources::new);
    }

    void clearTable(int table) {
        tables.remove(table);
    }

    /**
     * The line as a proxy on this table should hold it; null for none. A withdrawn one drains where
     * it is held.
     */
    RoutingResource desiredEntry(TableResources table, ResourceName name, boolean held) {
        RoutingResource entry = table.entries.get(name);
        if (entry == null
                || ejectedEndpoints.isEmpty()
                || !ejectedEndpoints.contains(name.endpointId())) {
            return entry;
        }
        return held
                ? table.drainingEntries.computeIfAbsent(
                        name, entryName -> newEntry(entryName, weight(entry), true))
                : null;
    }

    /** Sets a line, 0 removes it; the one before, or null. */
    RoutingResource setEntry(ResourceName name, int weight) {
        TableResources tableResources = table(name.table());
        tableResources.fullTable = null;
        tableResources.drainingEntries.remove(name);
        return weight == 0
                ? tableResources.entries.remove(name)
                : tableResources.entries.put(name, newEntry(name, weight, false));
    }

    void setEjected(long endpointId, boolean ejected) {
        if (ejected) {
            ejectedEndpoints.add(endpointId);
        } else {
            ejectedEndpoints.remove(endpointId);
        }
        tables.values().forEach(table -> table.fullTable = null);
    }

    static RoutingResource newEntry(ResourceName name, int weight, boolean draining) {
        RoutingResource.EndpointEntry entry =
                new RoutingResource.EndpointEntry(name.endpointId(), weight, draining);
        return new RoutingResource(name, entry.version(), List.of(entry), List.of());
    }

    private static int weight(RoutingResource entry) {
        return entry.entries().get(0).weight();
    }

    /** The whole table, for a stream that takes whole states. */
    RoutingResource fullTable(int table) {
        TableResources tableResources = table(table);
        if (tableResources.fullTable == null) {
            List<RoutingResource.EndpointEntry> entries = new ArrayList<>();
            long checksum = 1_125_899_906_842_597L;
            for (Map.Entry<ResourceName, RoutingResource> each :
                    tableResources.entries.entrySet()) {
                if (!ejectedEndpoints.contains(each.getKey().endpointId())) {
                    RoutingResource.EndpointEntry entry = each.getValue().entries().get(0);
                    entries.add(entry);
                    checksum = 31 * (31 * checksum + entry.endpointId()) + entry.weight();
                }
            }
            tableResources.fullTable =
                    new RoutingResource(
                            ResourceName.endpoints(table),
                            Long.toHexString(checksum),
                            entries,
                            List.of());
        }
        return tableResources.fullTable;
    }

    RoutingResource.RouteRule routeRule(int requestClass, int table) {
        double[] admission = table(table).admissionByClass.get(requestClass);
        return new RoutingResource.RouteRule(
                requestClass,
                table,
                admission == null ? ADMIT_ALL : admission[0],
                admission == null ? 0 : (int) admission[1]);
    }
}
