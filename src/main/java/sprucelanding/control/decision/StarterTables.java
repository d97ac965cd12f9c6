package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Small tables for proxies that have to be bound by a deadline which their regular tables would
 * miss: after a failover, when one governor inherits a fleet, the channel cannot carry a regular
 * table for each proxy before the endpoints that left meanwhile have to be out of use. A proxy goes
 * by a starter table until the rush is over, then it moves to its regular one.
 *
 * <p>Each endpoint is in several starter tables, and each starter table holds endpoints of all
 * weights in the same proportion, so that none is left with warming ones only.
 */
final class StarterTables {
    /**
     * Entries of the smallest starter table: with fewer, the loss of a single endpoint would hit a
     * proxy too hard.
     */
    static final int MIN_ENTRIES = 4;

    /** Starter tables that hold the same endpoint, so that no endpoint depends on a few proxies. */
    private static final int TABLES_PER_ENDPOINT = 2;

    /** A set is made smaller than it may be, so that it serves on while the budget shrinks. */
    private static final double SIZE_MARGIN = 0.75;

    /** A set that is smaller than that part of the budget is not worth keeping. */
    private static final double MIN_BUDGET_USE = 0.35;

    /**
     * Weights are varied by up to that part before they are distributed, so that sets made later
     * differ.
     */
    private static final double WEIGHT_JITTER = 0.2;

    /** The proxies that a starter table is assigned to, and their traffic. */
    private static final class Assignment {
        private double demand;
        private int proxies;
    }

    private final RoutingTables tables;
    private final SplittableRandom random;

    /** The newest set, by full table, and the same tables in one set. */
    private final Map<RoutingTable, List<RoutingTable>> newestSet = new HashMap<>();

    private final Set<RoutingTable> newestTables = new HashSet<>();
    private final Map<RoutingTable, Assignment> assignments = new HashMap<>();
    private final Set<Proxy> users = new LinkedHashSet<>();
    private final Set<RoutingTable> unsentTables = new LinkedHashSet<>();
    private int tableSize;

    StarterTables(RoutingTables tables, SplittableRandom random) {
        this.tables = tables;
        this.random = random;
    }

    /**
     * Whether the newest set is of a size that makes good use of a budget of that many entries and
     * does not exceed it.
     */
    boolean fitsBudget(int maxEntries) {
        return !newestSet.isEmpty()
                && tableSize <= Math.max(maxEntries, MIN_ENTRIES)
                && tableSize >= MIN_BUDGET_USE * maxEntries;
    }

    /**
     * Makes a new set, for a budget of that many entries. Tables of the set before stay with the
     * proxies that go by them.
     *
     * @param maxEntries that a starter table may have
     * @param weight the weight that an entry should have; 0 leaves it out
     */
    void allocate(int maxEntries, ToDoubleFunction<TableEntry> weight) {
        tableSize = (int) Math.max(MIN_ENTRIES, SIZE_MARGIN * maxEntries);
        newestSet.clear();
        newestTables.clear();
        assignments.values().removeIf(assignment -> assignment.proxies == 0);
        for (RoutingTable fullTable : tables.full()) {
            List<TableEntry> heaviestFirst = sortedByJitteredWeight(fullTable, weight);
            newestSet.put(fullTable, distribute(fullTable, heaviestFirst));
        }
    }

    private List<TableEntry> sortedByJitteredWeight(
            RoutingTable fullTable, ToDoubleFunction<TableEntry> weight) {
        List<TableEntry> entries = new ArrayList<>();
        Map<TableEntry, Double> order = new HashMap<>();
        for (TableEntry entry : fullTable.entries()) {
            if (weight.applyAsDouble(entry) > 0) {
                entries.add(entry);
                double jitter = 1 + WEIGHT_JITTER * random.nextDouble();
                order.put(entry, -entry.weight() * jitter);
            }
        }
        entries.sort(Comparator.comparingDouble(order::get));
        return entries;
    }

    private List<RoutingTable> distribute(RoutingTable fullTable, List<TableEntry> entries) {
        int count = (int) Math.ceil((double) TABLES_PER_ENDPOINT * entries.size() / tableSize);
        List<RoutingTable> set = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            set.add(tables.createStarter(fullTable));
        }
        for (int pass = 0; pass < TABLES_PER_ENDPOINT && count > 0; pass++) {
            int shift = random.nextInt(count);
            for (int i = 0; i < entries.size(); i++) {
                set.get((i + shift) % count).addFromFullTable(entries.get(i).endpoint());
            }
        }
        unsentTables.addAll(set);
        newestTables.addAll(set);
        return set;
    }

    /** Puts a proxy on the tables of the newest set that have the least traffic. */
    void assign(Proxy proxy) {
        unassign(proxy);
        newestSet.forEach(
                (fullTable, set) -> {
                    if (proxy.uses(fullTable)) {
                        set.stream()
                                .min(Comparator.comparingDouble(this::assignedDemand))
                                .ifPresent(table -> assign(proxy, fullTable, table));
                    }
                });
        if (!proxy.starterTables().isEmpty()) {
            users.add(proxy);
        }
    }

    private double assignedDemand(RoutingTable table) {
        Assignment assignment = assignments.get(table);
        return assignment == null ? 0 : assignment.demand;
    }

    private void assign(Proxy proxy, RoutingTable fullTable, RoutingTable table) {
        Assignment assignment = assignments.computeIfAbsent(table, added -> new Assignment());
        assignment.demand += proxy.baselineDemand() + 1;
        assignment.proxies++;
        proxy.starterTables().put(fullTable, table);
    }

    /**
     * The proxy goes by its regular tables from now on, or has left; once there is no other, the
     * sets are given up.
     */
    void release(Proxy proxy) {
        if (unassign(proxy) && users.isEmpty()) {
            discardTables();
        }
    }

    private boolean unassign(Proxy proxy) {
        if (!users.remove(proxy)) {
            return false;
        }
        for (RoutingTable table : proxy.starterTables().values()) {
            Assignment assignment = assignments.get(table);
            assignment.demand -= proxy.baselineDemand() + 1;
            assignment.proxies--;
        }
        proxy.starterTables().clear();
        return true;
    }

    private void discardTables() {
        newestSet.clear();
        newestTables.clear();
        unsentTables.clear();
        assignments.clear();
    }

    /** Proxies that go by starter tables, those first that have for longest. */
    List<Proxy> users() {
        return List.copyOf(users);
    }

    boolean hasUsers() {
        return !users.isEmpty();
    }

    /** Tables that have been made and not been sent completely yet. */
    List<RoutingTable> unsentTables() {
        return List.copyOf(unsentTables);
    }

    void sentCompletely(RoutingTable table) {
        unsentTables.remove(table);
    }

    /** Whether a proxy goes by the table, or may be put on it. */
    boolean isInUse(RoutingTable table) {
        Assignment assignment = assignments.get(table);
        return assignment != null && assignment.proxies > 0 || newestTables.contains(table);
    }

    /** Releases the proxies that have a starter table of that description. */
    void releaseUsersOf(Predicate<RoutingTable> isUnusable) {
        Set<RoutingTable> checked = new HashSet<>();
        Set<RoutingTable> unusable = new HashSet<>();
        List<Proxy> released = new ArrayList<>();
        for (Proxy proxy : users) {
            for (RoutingTable table : proxy.starterTables().values()) {
                if (checked.add(table) && isUnusable.test(table)) {
                    unusable.add(table);
                }
                if (unusable.contains(table)) {
                    released.add(proxy);
                }
            }
        }
        released.forEach(this::release);
    }

    /** Entries of a table of the newest set. */
    int tableSize() {
        return tableSize;
    }
}
