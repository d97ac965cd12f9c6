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
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Small tables for proxies that have to be bound by a deadline which their regular tables would
 * miss: after a failover, when one governor inherits a fleet, the channel cannot lay a regular
 * table for each proxy before the endpoints that left meanwhile have to be out of use. A proxy goes
 * by a starter table until the rush is over, then it moves to its regular one.
 *
 * <p>Each endpoint is in several starter tables, and each starter table holds endpoints of all
 * weights in the same proportion, so that none is left with cold ones only.
 */
final class StarterTables {
    /**
     * Lines of the smallest starter table: with fewer, the loss of a single endpoint would hit a
     * proxy too hard.
     */
    static final int MIN_LINES = 4;

    /** Starter tables that hold the same endpoint, so that no endpoint depends on a few proxies. */
    private static final int TABLES_PER_ENDPOINT = 2;

    /** A set is dealt smaller than it may be, so that it serves on while the budget shrinks. */
    private static final double SIZE_MARGIN = 0.75;

    /** A set that is smaller than that part of the budget is not worth keeping. */
    private static final double MIN_BUDGET_USE = 0.35;

    /**
     * Weights are shuffled by up to that part before they are dealt, so that sets dealt later
     * differ.
     */
    private static final double WEIGHT_JITTER = 0.2;

    private final Map<RoutingTable, List<RoutingTable>> tablesByFullTable = new HashMap<>();
    private final Set<Proxy> users = new LinkedHashSet<>();
    private final Set<RoutingTable> notSent = new LinkedHashSet<>();
    private final Set<RoutingTable> currentTables = new HashSet<>();
    private int tableSize;

    /**
     * Whether the set at hand is of a size that is well used by that many lines and does not exceed
     * them.
     */
    boolean fitsBudget(int most) {
        return !tablesByFullTable.isEmpty()
                && tableSize <= Math.max(most, MIN_LINES)
                && tableSize >= MIN_BUDGET_USE * most;
    }

    /**
     * Deals a new set, for a budget of that many lines. Tables of the set before stay with the
     * proxies that go by them.
     *
     * @param wide the tables of all endpoints
     * @param most lines that a starter table may have
     * @param create makes an empty table that is cut from the given one
     * @param want the weight that a line is to have; 0 leaves it out
     */
    void allocate(
            List<RoutingTable> wide,
            int most,
            Function<RoutingTable, RoutingTable> create,
            ToDoubleFunction<RoutingTable.TableEntry> want,
            SplittableRandom chance) {
        tableSize = (int) Math.max(MIN_LINES, SIZE_MARGIN * most);
        tablesByFullTable.clear();
        currentTables.clear();
        for (RoutingTable table : wide) {
            List<RoutingTable.TableEntry> rows = new ArrayList<>();
            Map<RoutingTable.TableEntry, Double> order = new HashMap<>();
            for (RoutingTable.TableEntry entry : table.entries.values()) {
                if (want.applyAsDouble(entry) > 0) {
                    rows.add(entry);
                    order.put(entry, -entry.weight * (1 + WEIGHT_JITTER * chance.nextDouble()));
                }
            }
            rows.sort(Comparator.comparingDouble(order::get));
            tablesByFullTable.put(table, allocate(table, rows, create, chance));
        }
    }

    private List<RoutingTable> allocate(
            RoutingTable table,
            List<RoutingTable.TableEntry> rows,
            Function<RoutingTable, RoutingTable> create,
            SplittableRandom chance) {
        int count = (int) Math.ceil((double) TABLES_PER_ENDPOINT * rows.size() / tableSize);
        List<RoutingTable> set = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            set.add(create.apply(table));
        }
        for (int pass = 0; pass < TABLES_PER_ENDPOINT && count > 0; pass++) {
            int shift = chance.nextInt(count);
            for (int i = 0; i < rows.size(); i++) {
                set.get((i + shift) % count).addFromFullTable(rows.get(i).endpoint);
            }
        }
        notSent.addAll(set);
        currentTables.addAll(set);
        return set;
    }

    /** Puts a proxy on the tables of the newest set that have the least traffic. */
    void assign(Proxy proxy) {
        removeUser(proxy);
        tablesByFullTable.forEach(
                (table, set) -> {
                    if (proxy.usesTable(table)) {
                        set.stream()
                                .min(Comparator.comparingDouble(each -> each.assignedDemand))
                                .ifPresent(
                                        least -> {
                                            least.assignedDemand += proxy.baselineDemand + 1;
                                            least.assignedProxies++;
                                            proxy.starterTables.put(table, least);
                                        });
                    }
                });
        if (!proxy.starterTables.isEmpty()) {
            users.add(proxy);
        }
    }

    /**
     * The proxy goes by its regular tables from now on, or has left; once there is no other, the
     * sets are given up.
     */
    void release(Proxy proxy) {
        if (removeUser(proxy) && users.isEmpty()) {
            discardTables();
        }
    }

    private boolean removeUser(Proxy proxy) {
        if (!users.remove(proxy)) {
            return false;
        }
        for (RoutingTable table : proxy.starterTables.values()) {
            table.assignedDemand -= proxy.baselineDemand + 1;
            table.assignedProxies--;
        }
        proxy.starterTables.clear();
        return true;
    }

    private void discardTables() {
        tablesByFullTable.clear();
        currentTables.clear();
        notSent.clear();
    }

    /** Proxies that go by starter tables, those first that have for longest. */
    List<Proxy> users() {
        return List.copyOf(users);
    }

    /** Tables that have been dealt and not been laid out yet. */
    Set<RoutingTable> notSent() {
        return notSent;
    }

    /** Tables in use or of the newest set. */
    boolean isInUse(RoutingTable table) {
        return table.assignedProxies > 0 || currentTables.contains(table);
    }

    /** Releases those whose starter table has no line left. */
    void releaseUsersOf(Function<RoutingTable, Boolean> dead) {
        Set<RoutingTable> seen = new HashSet<>();
        List<Proxy> released = new ArrayList<>();
        Set<RoutingTable> gone = new HashSet<>();
        for (Proxy proxy : users) {
            for (RoutingTable table : proxy.starterTables.values()) {
                if (seen.add(table) && dead.apply(table)) {
                    gone.add(table);
                }
                if (gone.contains(table)) {
                    released.add(proxy);
                }
            }
        }
        released.forEach(this::release);
    }

    int tableSize() {
        return tableSize;
    }
}
