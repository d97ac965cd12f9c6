package sprucelanding.control.delivery;

import java.util.Set;
import java.util.TreeSet;

/** The resources that one proxy has subscribed to. */
final class Subscriptions {
    private final Set<Integer> endpointTables = new TreeSet<>();
    private final Set<Integer> entryTables = new TreeSet<>();
    private boolean clusters;
    private boolean route;

    /** Adds a subscription; for clusters and the route the table does not matter. */
    void add(ResourceType type, int table) {
        switch (type) {
            case CLUSTER -> clusters = true;
            case ENDPOINTS -> endpointTables.add(table);
            case LINE -> entryTables.add(table);
            case ROUTE -> route = true;
            default -> throw new IllegalArgumentException("unknown type " + type);
        }
    }

    /** Ends a subscription; for clusters and the route the table does not matter. */
    void remove(ResourceType type, int table) {
        switch (type) {
            case CLUSTER -> clusters = false;
            case ENDPOINTS -> endpointTables.remove(table);
            case LINE -> entryTables.remove(table);
            case ROUTE -> route = false;
            default -> throw new IllegalArgumentException("unknown type " + type);
        }
    }

    boolean includesClusters() {
        return clusters;
    }

    boolean includesRoute() {
        return route;
    }

    boolean includesEndpoints(int table) {
        return endpointTables.contains(table);
    }

    boolean includesEntries(int table) {
        return entryTables.contains(table);
    }

    /** Tables whose endpoints are subscribed to, in ascending order. */
    Set<Integer> endpointTables() {
        return endpointTables;
    }
}
