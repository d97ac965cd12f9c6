package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All routing tables of a governor: the full tables, their subsets, and the starter tables. */
final class RoutingTables {
    /**
     * Number of subsets after which subset numbers are reused. By then, the earlier table with the
     * same number has long been cleared.
     */
    private static final int SUBSET_NUMBER_COUNT = 60_000;

    private final List<RoutingTable> fullTables;
    private final List<RoutingTable> tables;
    private int subsetsCreated;

    /**
     * Creates the full tables. Request classes with the same endpoints share one table. A request
     * class that is served only in the zone of the proxy has one table for each zone.
     */
    RoutingTables(RequestClass[] requestClasses, int zones) {
        Map<List<Object>, RoutingTable> byEndpoints = new LinkedHashMap<>();
        for (RequestClass requestClass : requestClasses) {
            boolean isPerZone = requestClass.isOwnZoneOnly();
            int first = isPerZone ? 0 : RoutingTable.ALL_ZONES;
            int end = isPerZone ? zones : 0;
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

    /** Returns the full tables, in the order of their numbers. */
    List<RoutingTable> full() {
        return fullTables;
    }

    /** Returns all tables, the full tables first. */
    List<RoutingTable> all() {
        return tables;
    }

    RoutingTable createSubset(RoutingTable fullTable) {
        return create(fullTable, false);
    }

    RoutingTable createStarter(RoutingTable fullTable) {
        return create(fullTable, true);
    }

    private RoutingTable create(RoutingTable fullTable, boolean isStarter) {
        subsetsCreated = (subsetsCreated + 1) % SUBSET_NUMBER_COUNT;
        RoutingTable subset = fullTable.newSubset(fullTables.size() + subsetsCreated, isStarter);
        tables.add(subset);
        return subset;
    }

    /** Gives a cleared full table a new number, under which the table can be sent again. */
    void renumberIfCleared(RoutingTable fullTable) {
        if (fullTable.isCleared()) {
            fullTable.renumber(
                    fullTables.size() + SUBSET_NUMBER_COUNT + fullTables.indexOf(fullTable));
        }
    }

    /** Drops a cleared table. Full tables are kept because they may be used again. */
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
