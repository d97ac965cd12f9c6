package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * A proxy with a joined stream: its demand, its tables, and the times of the messages that were
 * sent to the proxy. Times are in ms.
 */
public final class Proxy {
    /** The number by which the host identifies the proxy. */
    public final int id;

    private final int zone;
    private final boolean isUnconfigured;
    private final double joinedAt;
    private final double baselineDemand;
    private final double[] demand;

    /** By full table, the table to which the proxy is bound. */
    private final Map<RoutingTable, RoutingTable> boundTables = new HashMap<>();

    /** By full table, the assigned starter table; mostly empty. */
    private final Map<RoutingTable, RoutingTable> starterTables = new HashMap<>(2);

    /** The index of the proxy's subset in tables that are divided into subsets. */
    private int subset;

    /** The endpoints whose ejection has been ordered for the proxy since it joined. */
    private final Set<Endpoint> ejected = new HashSet<>();

    /** The times of the messages to the proxy, ms, oldest first. */
    private final ArrayDeque<Double> messageTimes = new ArrayDeque<>();

    /**
     * Creates a proxy that is bound to no table.
     *
     * @param id number by which the host identifies the proxy
     * @param zone position of its zone
     * @param isUnconfigured whether the proxy joined with its initial configuration, without orders
     *     of any governor
     * @param joinedAt time at which the proxy joined, ms
     * @param demandByClass expected requests per second of each request class
     * @param requestClassCount number of request classes
     */
    Proxy(
            int id,
            int zone,
            boolean isUnconfigured,
            double joinedAt,
            double demandByClass,
            int requestClassCount) {
        this.id = id;
        this.zone = zone;
        this.isUnconfigured = isUnconfigured;
        this.joinedAt = joinedAt;
        this.baselineDemand = demandByClass * requestClassCount;
        this.demand = new double[requestClassCount];
        Arrays.fill(demand, demandByClass);
    }

    /** Returns whether the proxy joined with its initial configuration, without any orders. */
    boolean isUnconfigured() {
        return isUnconfigured;
    }

    double joinedAt() {
        return joinedAt;
    }

    /** Returns the requests per second that were expected when the proxy joined. */
    double baselineDemand() {
        return baselineDemand;
    }

    /** Returns the smoothed demand for a request class, requests per second. */
    double demand(int requestClass) {
        return demand[requestClass];
    }

    double totalDemand() {
        return Arrays.stream(demand).sum();
    }

    /** Moves the smoothed demand halfway to the reported demand, requests per second. */
    void demandReported(int requestClass, double requestsPerSecond) {
        double smoothed = demand[requestClass] + (requestsPerSecond - demand[requestClass]) / 2;
        demand[requestClass] = InputLimits.limitedDemand(smoothed);
    }

    /** Returns whether the proxy routes requests by the full table or by a part of that table. */
    boolean uses(RoutingTable fullTable) {
        return fullTable.zone() < 0 || fullTable.zone() == zone;
    }

    /** Returns the table that is assigned at present: a starter table or the regular table. */
    RoutingTable assignedTable(RoutingTable fullTable) {
        RoutingTable starter = starterTables.get(fullTable);
        return starter == null ? regularTable(fullTable) : starter;
    }

    /** Returns the table to use without a starter table: the full table or a subset of it. */
    RoutingTable regularTable(RoutingTable fullTable) {
        return fullTable.subsets().isEmpty()
                ? fullTable
                : fullTable.subsets().get(subset % fullTable.subsets().size());
    }

    /** Returns whether the proxy is not bound to its assigned table. */
    boolean needsBind(RoutingTable fullTable) {
        return uses(fullTable) && boundTables.get(fullTable) != assignedTable(fullTable);
    }

    /** Returns whether the proxy is bound to any table. */
    boolean isBound() {
        return !boundTables.isEmpty();
    }

    /** Returns whether the proxy is bound to the full table or to a part of it. */
    boolean hasBind(RoutingTable fullTable) {
        return boundTables.containsKey(fullTable);
    }

    Collection<RoutingTable> boundTables() {
        return boundTables.values();
    }

    /** Binds the proxy to a table, in place of any other part of the same full table. */
    void bindTo(RoutingTable table) {
        RoutingTable previous = boundTables.put(table.fullTable(), table);
        if (previous != null) {
            previous.removeUser(this);
        }
        table.addUser(this);
    }

    /** Returns whether the proxy has been told since it joined that the endpoint is ejected. */
    boolean isToldOfEjection(Endpoint endpoint) {
        return ejected.contains(endpoint);
    }

    void ejectionOrdered(Endpoint endpoint) {
        ejected.add(endpoint);
    }

    void restorationOrdered(Endpoint endpoint) {
        ejected.remove(endpoint);
    }

    void endpointsForgotten(Collection<Endpoint> endpoints) {
        ejected.removeAll(endpoints);
    }

    /** Returns whether a table that the proxy is bound to sends requests to the endpoint. */
    boolean sendsTrafficTo(Endpoint endpoint) {
        return boundTables.values().stream().anyMatch(table -> table.sendsTrafficTo(endpoint));
    }

    /**
     * Returns the index of the assigned subset; negative if there is none. {@link SubsetAllocator}
     * sets the index.
     */
    int subset() {
        return subset;
    }

    void assignSubset(int index) {
        subset = index;
    }

    Map<RoutingTable, RoutingTable> starterTables() {
        return starterTables;
    }

    /**
     * Returns whether a message is sent to the proxy at this time. All orders given at one time are
     * sent in one message.
     */
    boolean hasMessageAt(double now) {
        return !messageTimes.isEmpty() && messageTimes.peekLast() == now;
    }

    /** Returns the number of messages that have not been dropped from the count. */
    int recentMessages() {
        return messageTimes.size();
    }

    /**
     * Returns the time of one of the last messages, ms; {@link EventTime#NEVER} if there were not
     * so many.
     *
     * @param newest 1 for the newest message, 2 for the one before, and so on
     */
    double messageTime(int newest) {
        if (newest > messageTimes.size()) {
            return EventTime.NEVER;
        }
        Iterator<Double> times = messageTimes.descendingIterator();
        for (int skipped = 1; skipped < newest; skipped++) {
            times.next();
        }
        return times.next();
    }

    void messageSent(double now) {
        messageTimes.addLast(now);
    }

    void forgetMessagesBefore(double time) {
        messageTimes.removeIf(at -> at < time);
    }
}
