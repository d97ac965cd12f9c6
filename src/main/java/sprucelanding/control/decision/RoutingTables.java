package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All routing tables of a governor: the full ones, their subsets, and starter tables. */
final class RoutingTables {
    /**
     * Numbers of subsets start anew past that many; by then, whatever had the number has long been
     * cleared.
     */
    private static final int SUBSET_NUMBERS = 60_000;

    private final List<RoutingTable> fullTables;
    private final List<RoutingTable> tables;
    private int subsetsCreated;

    /**
     * Creates the full tables. Classes that the same endpoints may serve share one; a class that is
     * served in the proxy's own zone only has one for each zone.
     */
    RoutingTables(RequestClass[] requestClasses, int zones) {
        Map<List<Object>, RoutingTable> byEndpoints = new LinkedHashMap<>();
        for (RequestClass requestClass : requestClasses) {
            boolean perZone = requestClass.isOwnZoneOnly();
            int first = perZone ? 0 : RoutingTable.ALL_ZONES;
            int end = perZone ? zones : 0;
            for (int zone = first; zone < end; zone++) {
                RoutingTable next =
                        RoutingTable.full(
                                byEndpoints.size(), requestClass, zone, requestClasses.length);
                List<Object> endpoints =
                        List.of(requestClass.machineKinds(), requestClass.zones(), zone);
                byEndpoints
                        .computeIfAbsent(endpoints, added -> next)
                        .requestClasses()
                        .set(requestClass.index);
            }
        }
        fullTables = List.copyOf(byEndpoints.values());
        tables = new ArrayList<>(fullTables);
    }

    /** The full tables, in the order of their numbers. */
    List<RoutingTable> full() {
        return fullTables;
    }

    /** All tables, the full ones first. */
    List<RoutingTable> all() {
        return tables;
    }

    RoutingTable createSubset(RoutingTable fullTable) {
        return create(fullTable, false);
    }

    RoutingTable createStarter(RoutingTable fullTable) {
        return create(fullTable, true);
    }

    private RoutingTable create(RoutingTable fullTable, boolean starter) {
        subsetsCreated = (subsetsCreated + 1) % SUBSET_NUMBERS;
        RoutingTable subset = fullTable.newSubset(fullTables.size() + subsetsCreated, starter);
        tables.add(subset);
        return subset;
    }

    /** Gives a full table that was cleared a number under which it can be sent again. */
    void renumberIfCleared(RoutingTable fullTable) {
        if (fullTable.isCleared()) {
            fullTable.renumber(fullTables.size() + SUBSET_NUMBERS + fullTables.indexOf(fullTable));
        }
    }

    /** Drops a table that was cleared; full tables stay, for they may be used again. */
    void removeUnlessFull(RoutingTable table) {
        tables.removeIf(each -> each == table && !table.isFull());
    }

    void proxyLeft(Proxy proxy) {
        tables.forEach(table -> table.proxyLeft(proxy));
    }

    void endpointsForgotten(Collection<Endpoint> endpoints) {
        tables.forEach(table -> table.removeEntriesOf(endpoints));
    }
}
