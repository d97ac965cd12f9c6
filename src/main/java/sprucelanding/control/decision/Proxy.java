package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * A proxy whose stream is joined: its demand, the tables that it goes by, and when messages were
 * sent to it.
 */
public final class Proxy {
    /** The host's number of the proxy. */
    public final int id;

    private final int zone;
    private final boolean unconfigured;
    private final double joinedAt;
    private final double baselineDemand;
    private final double[] demand;

    /** By full table, the table that it was bound to. */
    private final Map<RoutingTable, RoutingTable> boundTables = new HashMap<>();

    /**
     * By full table, the starter table that it goes by instead of its regular one; mostly empty.
     */
    private final Map<RoutingTable, RoutingTable> starterTables = new HashMap<>(2);

    /** Which subset it takes of tables that are divided. */
    private int subset;

    /** When messages were sent to it, ms, oldest first. */
    private final ArrayDeque<Double> messageTimes = new ArrayDeque<>();

    /**
     * Creates a proxy that is bound to no table.
     *
     * @param id the host's number of it
     * @param zone position of its zone
     * @param unconfigured whether it joined with what it started with, and no orders of a governor
     * @param joinedAt ms
     * @param demandByClass requests a second that it is expected to get of each class
     * @param requestClasses how many classes there are
     */
    Proxy(
            int id,
            int zone,
            boolean unconfigured,
            double joinedAt,
            double demandByClass,
            int requestClasses) {
        this.id = id;
        this.zone = zone;
        this.unconfigured = unconfigured;
        this.joinedAt = joinedAt;
        this.baselineDemand = demandByClass * requestClasses;
        this.demand = new double[requestClasses];
        Arrays.fill(demand, demandByClass);
    }

    /** Whether it joined with what it started with, and no orders of a governor. */
    boolean isUnconfigured() {
        return unconfigured;
    }

    double joinedAt() {
        return joinedAt;
    }

    /** Requests a second that it was expected to get when it joined. */
    double baselineDemand() {
        return baselineDemand;
    }

    /** Requests a second of a class, smoothed. */
    double demand(int requestClass) {
        return demand[requestClass];
    }

    double totalDemand() {
        return Arrays.stream(demand).sum();
    }

    /** Moves the smoothed demand halfway to what was reported, requests a second. */
    void demandReported(int requestClass, double perSecond) {
        demand[requestClass] += (perSecond - demand[requestClass]) / 2;
    }

    /** Whether its requests go by that full table, or by a part of it. */
    boolean uses(RoutingTable fullTable) {
        return fullTable.zone() < 0 || fullTable.zone() == zone;
    }

    /** The table that it should go by at present: a starter table, or its regular one. */
    RoutingTable assignedTable(RoutingTable fullTable) {
        RoutingTable starter = starterTables.get(fullTable);
        return starter == null ? regularTable(fullTable) : starter;
    }

    /** The table that it should go by in calm times: the full one, or its subset of that. */
    RoutingTable regularTable(RoutingTable fullTable) {
        return fullTable.subsets().isEmpty()
                ? fullTable
                : fullTable.subsets().get(subset % fullTable.subsets().size());
    }

    /** Whether it is not bound to the table that it should go by. */
    boolean needsBind(RoutingTable fullTable) {
        return uses(fullTable) && boundTables.get(fullTable) != assignedTable(fullTable);
    }

    boolean isBound() {
        return !boundTables.isEmpty();
    }

    Collection<RoutingTable> boundTables() {
        return boundTables.values();
    }

    /** From now on it goes by this table, and by no other part of the same full table. */
    void bindTo(RoutingTable table) {
        RoutingTable before = boundTables.put(table.fullTable(), table);
        if (before != null) {
            before.removeUser(this);
        }
        table.addUser(this);
    }

    /** The subset that it was assigned; below 0 if none. Set by {@link SubsetAllocator}. */
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
     * Whether a message goes to it at this time: what is ordered at one time travels in one
     * message.
     */
    boolean hasMessageAt(double now) {
        return !messageTimes.isEmpty() && messageTimes.peekLast() == now;
    }

    /** Messages since that time, ms, and those that were not dropped from the count yet. */
    int recentMessages() {
        return messageTimes.size();
    }

    void messageSent(double now) {
        messageTimes.addLast(now);
    }

    void forgetMessagesBefore(double time) {
        messageTimes.removeIf(at -> at < time);
    }
}
