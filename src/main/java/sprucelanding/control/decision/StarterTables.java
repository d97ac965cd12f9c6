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
 * The starter tables: small tables for proxies whose regular tables would miss the deadline of the
 * bind. After a failover, one governor takes over a whole fleet, and the channel cannot carry a
 * regular table for each proxy before removed endpoints must be out of use. A proxy uses a starter
 * table until the burst of binds is over, and is then moved to its regular table.
 *
 * <p>Starter tables are created in sets. Each endpoint is in several starter tables of a set. Each
 * starter table contains endpoints of all weights in the same proportion, so that no table consists
 * only of endpoints that are warming up.
 */
final class StarterTables {
    /**
     * Smallest number of entries of a starter table. With fewer entries, the loss of a single
     * endpoint would affect a proxy too strongly.
     */
    static final int MIN_ENTRIES = 4;

    /**
     * Number of starter tables that contain the same endpoint. With fewer tables, an endpoint would
     * depend on a few proxies.
     */
    private static final int TABLES_PER_ENDPOINT = 2;

    /** Table size as a share of the budget, so that a set stays usable if the budget shrinks. */
    private static final double BUDGET_SHARE = 0.75;

    /** Smallest table size, as a share of the budget, with which a set is worth keeping. */
    private static final double MIN_BUDGET_SHARE = 0.35;

    /**
     * Largest random increase of a weight before the entries are distributed, as a share of the
     * weight. The variation makes later sets differ from earlier sets.
     */
    private static final double MAX_WEIGHT_JITTER_SHARE = 0.2;

    /** The number of proxies that are assigned to a starter table, and their demand. */
    private static final class Assignment {
        private double demand;
        private int proxies;
    }

    private final RoutingTables tables;
    private final SplittableRandom random;

    /** The newest set of starter tables by full table. */
    private final Map<RoutingTable, List<RoutingTable>> newestSet = new HashMap<>();

    /** All tables of the newest set. */
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
     * Returns whether the newest set fits a budget: the tables do not exceed the budget and make
     * good use of it.
     *
     * @param maxEntries largest number of entries of a starter table
     */
    boolean fitsBudget(int maxEntries) {
        return !newestSet.isEmpty()
                && tableSize <= Math.max(maxEntries, MIN_ENTRIES)
                && tableSize >= MIN_BUDGET_SHARE * maxEntries;
    }

    /**
     * Creates a new set of starter tables. Tables of earlier sets stay with their proxies.
     *
     * @param maxEntries largest number of entries of a starter table
     * @param weight returns the target weight of an entry; entries of weight 0 are left out
     */
    void allocate(int maxEntries, ToDoubleFunction<TableEntry> weight) {
        tableSize = (int) Math.max(MIN_ENTRIES, BUDGET_SHARE * maxEntries);
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
                double jitter = 1 + MAX_WEIGHT_JITTER_SHARE * random.nextDouble();
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

    /** Assigns the tables of the newest set that have the least demand to a proxy. */
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
     * Returns a proxy to its regular tables, or forgets a proxy that has left. The newest set is
     * discarded after the last proxy.
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

    /** Returns the proxies on starter tables, in the order of their assignment. */
    List<Proxy> users() {
        return List.copyOf(users);
    }

    boolean hasUsers() {
        return !users.isEmpty();
    }

    /** Returns the tables that have been created but not sent completely. */
    List<RoutingTable> unsentTables() {
        return List.copyOf(unsentTables);
    }

    void sentCompletely(RoutingTable table) {
        unsentTables.remove(table);
    }

    /** Returns whether the table is assigned to a proxy or may be assigned to one. */
    boolean isInUse(RoutingTable table) {
        Assignment assignment = assignments.get(table);
        return assignment != null && assignment.proxies > 0 || newestTables.contains(table);
    }

    /** Releases the proxies with a starter table that matches the predicate. */
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

    /** Returns the number of entries of a table of the newest set. */
    int tableSize() {
        return tableSize;
    }
}
