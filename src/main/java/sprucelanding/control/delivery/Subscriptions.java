package sprucelanding.control.delivery;

import java.util.Set;
import java.util.TreeSet;

/** Subscriptions of one proxy. */
final class Subscriptions {
    private final Set<Integer> endpointTables = new TreeSet<>();
    private final Set<Integer> entryTables = new TreeSet<>();
    private boolean hasClusters;
    private boolean hasRoute;

    /** Adds a subscription. The table is ignored for clusters and the route. */
    void add(ResourceType type, int table) {
        switch (type) {
            case CLUSTER -> hasClusters = true;
            case ENDPOINTS -> endpointTables.add(table);
            case LINE -> entryTables.add(table);
            case ROUTE -> hasRoute = true;
            default -> throw new IllegalArgumentException("unknown resource type " + type);
        }
    }

    /** Removes a subscription. The table is ignored for clusters and the route. */
    void remove(ResourceType type, int table) {
        switch (type) {
            case CLUSTER -> hasClusters = false;
            case ENDPOINTS -> endpointTables.remove(table);
            case LINE -> entryTables.remove(table);
            case ROUTE -> hasRoute = false;
            default -> throw new IllegalArgumentException("unknown resource type " + type);
        }
    }

    boolean includesClusters() {
        return hasClusters;
    }

    boolean includesRoute() {
        return hasRoute;
    }

    boolean includesEndpoints(int table) {
        return endpointTables.contains(table);
    }

    boolean includesEntries(int table) {
        return entryTables.contains(table);
    }

    /** Returns the tables to whose endpoints the proxy is subscribed, in ascending order. */
    Set<Integer> endpointTables() {
        return endpointTables;
    }
}
