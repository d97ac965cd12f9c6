package sprucelanding.control.delivery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Resources of one routing table as ordered: its entries, and the admission of each request class.
 */
final class TableResources {
    private static final long CHECKSUM_SEED = 1_125_899_906_842_597L;
    private static final int CHECKSUM_FACTOR = 31;

    private final int table;
    private final Map<ResourceName, RoutingResource> entries = new LinkedHashMap<>();

    /**
     * The same entries, marked as draining, for proxies that hold an entry of an ejected endpoint.
     */
    private final Map<ResourceName, RoutingResource> drainingEntries = new LinkedHashMap<>();

    private final Map<Integer, Admission> admissionByClass = new TreeMap<>();

    /** Cached full table for state-of-the-world streams; null if the table may have changed. */
    private RoutingResource fullTable;

    TableResources(int table) {
        this.table = table;
    }

    /** Returns the names of the entries, in the order in which they were added. */
    Set<ResourceName> entryNames() {
        return entries.keySet();
    }

    int entryCount() {
        return entries.size();
    }

    boolean hasEntry(ResourceName name) {
        return entries.containsKey(name);
    }

    /**
     * Sets an entry's weight; 0 removes the entry.
     *
     * @return whether the entry existed before
     */
    boolean setEntry(ResourceName name, int weight) {
        fullTable = null;
        drainingEntries.remove(name);
        RoutingResource previous =
                weight == 0
                        ? entries.remove(name)
                        : entries.put(name, RoutingResource.entry(name, weight, false));
        return previous != null;
    }

    /** Returns the entry as ordered; null if there is none. */
    RoutingResource entry(ResourceName name) {
        return entries.get(name);
    }

    /** Returns the entry marked as draining. The entry must exist. */
    RoutingResource drainingEntry(ResourceName name) {
        return drainingEntries.computeIfAbsent(
                name,
                entryName ->
                        RoutingResource.entry(
                                entryName, entries.get(name).entries().get(0).weight(), true));
    }

    void setAdmission(int requestClass, Admission admission) {
        admissionByClass.put(requestClass, admission);
    }

    /**
     * Returns the admission of a request class. All requests are admitted until another admission
     * is ordered.
     */
    Admission admission(int requestClass) {
        return admissionByClass.getOrDefault(requestClass, Admission.ALL);
    }

    /** Invalidates the cached table because the set of ejected endpoints has changed. */
    void ejectionsChanged() {
        fullTable = null;
    }

    /** Returns all entries except those of ejected endpoints, as one resource. */
    RoutingResource fullTable(Set<Long> ejectedEndpoints) {
        if (fullTable == null) {
            fullTable = newFullTable(ejectedEndpoints);
        }
        return fullTable;
    }

    private RoutingResource newFullTable(Set<Long> ejectedEndpoints) {
        List<RoutingResource.EndpointEntry> present = new ArrayList<>();
        long checksum = CHECKSUM_SEED;
        for (Map.Entry<ResourceName, RoutingResource> each : entries.entrySet()) {
            if (!ejectedEndpoints.contains(each.getKey().endpointId())) {
                RoutingResource.EndpointEntry entry = each.getValue().entries().get(0);
                present.add(entry);
                checksum =
                        CHECKSUM_FACTOR * (CHECKSUM_FACTOR * checksum + entry.endpointId())
                                + entry.weight();
            }
        }
        return new RoutingResource(
                ResourceName.endpoints(table), Long.toHexString(checksum), present, List.of());
    }
}
