package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** A proxy whose stream is joined, and what has been sent to it. */
public final class Proxy {
    public final int id;
    final int zone;

    /** It joined with what it started with, and no orders. */
    final boolean unconfigured;

    final double joinedAt;

    /** Txns a second that it usually gets, by what it was said to when it joined. */
    final double baselineDemand;

    /**
     * By the table of all servers, the one that it was put on; and which part it takes of those cut
     * up.
     */
    final Map<RoutingTable, RoutingTable> tables = new HashMap<>();

    int subset;

    /**
     * By the table of all servers, the starter table that it goes by instead of its regular one;
     * empty in calm times.
     */
    final Map<RoutingTable, RoutingTable> starterTables = new HashMap<>(2);

    /** By when it has to be bound, as last planned, ms. */
    double bindDeadline = Double.POSITIVE_INFINITY;

    /** When messages were ordered for it, oldest first. */
    final ArrayDeque<Double> messageTimes = new ArrayDeque<>();

    /** Txns a second by product, smoothed. */
    final double[] demand;

    Proxy(int id, int zone, boolean bare, double joinedAt, double usual, int products) {
        this.id = id;
        this.zone = zone;
        this.unconfigured = bare;
        this.joinedAt = joinedAt;
        this.baselineDemand = usual * products;
        this.demand = new double[products];
        Arrays.fill(demand, usual);
    }

    /** From now on it goes by this table, and by no other part of the same one. */
    void moveTo(RoutingTable target) {
        RoutingTable before = tables.put(target.fullTable, target);
        if (before != null) {
            before.users.remove(this);
        }
        target.users.add(this);
        target.receivers.add(this);
    }

    double totalDemand() {
        return Arrays.stream(demand).sum();
    }

    /**
     * Whether a message goes to it at this moment: what is ordered at one time travels together.
     */
    boolean hasMessageAt(double now) {
        return !messageTimes.isEmpty() && messageTimes.peekLast() == now;
    }

    /** Its table at present: a starter table, or its regular one. */
    RoutingTable assignedTable(RoutingTable table) {
        RoutingTable starter = starterTables.get(table);
        return starter == null ? regularTable(table) : starter;
    }

    /** Its regular table: the one of all servers, or its part of that. */
    RoutingTable regularTable(RoutingTable table) {
        return table.subsets.isEmpty() ? table : table.subsets.get(subset % table.subsets.size());
    }

    /** Whether its requests go by that table of all servers, or by a part of it. */
    boolean usesTable(RoutingTable table) {
        return table.zone < 0 || table.zone == zone;
    }

    boolean needsBind(RoutingTable table) {
        return usesTable(table) && tables.get(table) != assignedTable(table);
    }
}
