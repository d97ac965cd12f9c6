package sprucelanding.control.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Limits the share of the requests that each table admits, so that no endpoint which is warming up
 * gets more requests than its safe load. Weights only divide the requests of a table: the fewer
 * warm endpoints a table has, the more the endpoints that are warming up get.
 *
 * <p>If the expected load of an endpoint passes its safe load, its tables are limited until the
 * expected load is within its present capacity again. A table with sufficient warm endpoints is not
 * limited. Loads are multiples of the present capacity of an endpoint.
 */
final class WarmUpLimiter {
    /** Multiple of its capacity at which an endpoint falls over where the site states none. */
    private static final double DEFAULT_FALL_MULTIPLE = 3;

    /**
     * Share of a table's requests that its warm endpoints get at least while they protect the
     * others: an overload then shows in their load reports, and {@link AdmissionController} acts.
     */
    private static final double MIN_WARM_SHARE = 0.75;

    private final EventTime time;
    private final RoutingTables tables;
    private final SlowStart slowStart;
    private final TableLoadEstimator tableLoads;

    /** Largest expected load of an endpoint that is warming up. */
    private double safeLoad = safeLoad(DEFAULT_FALL_MULTIPLE);

    /** Endpoints whose tables are limited. */
    private final Set<Endpoint> overloaded = new HashSet<>();

    private final Map<RoutingTable, Double> limits = new HashMap<>();

    /** By full table, the last periodic update at which the table or a subset was limited. */
    private final Map<RoutingTable, Long> lastLimited = new HashMap<>();

    private boolean isOutdated = true;

    WarmUpLimiter(
            EventTime time,
            RoutingTables tables,
            SlowStart slowStart,
            TableLoadEstimator tableLoads) {
        this.time = time;
        this.tables = tables;
        this.slowStart = slowStart;
        this.tableLoads = tableLoads;
    }

    /**
     * Configures the load at which a warming endpoint falls over.
     *
     * @param fallMultiple multiple of the endpoint's present capacity, above 1
     */
    void configure(double fallMultiple) {
        safeLoad = safeLoad(fallMultiple);
    }

    /** Returns the load halfway between the capacity and the load at which an endpoint falls. */
    private static double safeLoad(double fallMultiple) {
        return (1 + fallMultiple) / 2;
    }

    /**
     * Updates the estimated loads of the tables. Called once in each periodic update.
     *
     * @param isShedding whether requests are shed because of the load of the whole fleet
     */
    void updateTableLoads(boolean isShedding) {
        invalidate();
        if (isLimiting()) {
            limits.keySet()
                    .forEach(table -> lastLimited.put(table.fullTable(), time.updateCount()));
        }
        for (RoutingTable fullTable : tables.full()) {
            updateDemand(fullTable);
            Long last = lastLimited.get(fullTable);
            if (last == null
                    || time.updateCount() - last > AdmissionController.REPORT_LAG_UPDATES) {
                tableLoads.updateLoad(fullTable, isShedding);
            }
        }
        invalidate();
    }

    private void updateDemand(RoutingTable fullTable) {
        double demand = 0;
        double baselineDemand = 0;
        for (RoutingTable table : tables.all()) {
            if (table.fullTable() == fullTable) {
                demand += demand(table);
                baselineDemand += SequentialSum.of(table.users(), Proxy::baselineDemand);
            }
        }
        tableLoads.updateDemand(fullTable, demand, baselineDemand);
    }

    /** Notes that tables, loads or time have changed. */
    void invalidate() {
        isOutdated = true;
    }

    /** Returns whether the requests of any table are limited. */
    boolean isLimiting() {
        if (isOutdated) {
            isOutdated = false;
            updateLimits();
        }
        return !limits.isEmpty();
    }

    /**
     * Returns the largest share, 0 to 1, of the requests admitted by {@link AdmissionController}
     * that the table may admit.
     */
    double limit(RoutingTable table) {
        return isLimiting() ? limits.getOrDefault(table, 1.0) : 1;
    }

    private void updateLimits() {
        limits.clear();
        Map<Endpoint, Double> highestLoads = new LinkedHashMap<>();
        List<RoutingTable> warmingTables =
                tables.full().stream().filter(this::hasWarmingEndpoint).toList();
        for (RoutingTable fullTable : warmingTables) {
            Map<Endpoint, Double> expectedLoads = expectedLoads(fullTable);
            expectedLoads.forEach(
                    (endpoint, load) -> highestLoads.merge(endpoint, load, Math::max));
            expectedLoads.forEach((endpoint, load) -> limitTables(fullTable, endpoint, load));
        }
        overloaded.removeIf(endpoint -> highestLoads.getOrDefault(endpoint, 0.0) <= 1);
    }

    private boolean hasWarmingEndpoint(RoutingTable fullTable) {
        return fullTable.endpoints().stream().anyMatch(slowStart::isWarmingUp);
    }

    /** Returns the loads of the warming endpoints if all requests of a full table are admitted. */
    private Map<Endpoint, Double> expectedLoads(RoutingTable fullTable) {
        Map<Endpoint, Double> loads = new LinkedHashMap<>();
        double allDemand = 0;
        for (RoutingTable table : tables.all()) {
            if (table.fullTable() == fullTable) {
                double demand = demand(table);
                allDemand += demand;
                addRequests(table, demand, loads);
            }
        }
        double busyPerRequest = allDemand > 0 ? tableLoads.busyEndpoints(fullTable) / allDemand : 0;
        loads.replaceAll(
                (endpoint, requests) ->
                        requests * busyPerRequest / tableLoads.presentCapacity(endpoint));
        return loads;
    }

    /** Adds the requests per second that each warming endpoint gets from a table. */
    private void addRequests(RoutingTable table, double demand, Map<Endpoint, Double> requests) {
        if (demand <= 0 || warmingWeight(table) <= 0) {
            return;
        }
        double requestsPerWeight = demand / weight(table);
        for (TableEntry entry : table.entries()) {
            if (isWarmingUp(entry)) {
                double added = usableWeight(entry) * requestsPerWeight;
                requests.merge(entry.endpoint(), added, Double::sum);
            }
        }
    }

    private static double demand(RoutingTable table) {
        return SequentialSum.of(
                table.users(),
                proxy -> table.requestClasses().stream().mapToDouble(proxy::demand).sum());
    }

    private double warmingWeight(RoutingTable table) {
        return SequentialSum.of(table.entries(), e -> isWarmingUp(e) ? usableWeight(e) : 0);
    }

    private static double weight(RoutingTable table) {
        return SequentialSum.of(table.entries(), WarmUpLimiter::usableWeight);
    }

    private boolean isWarmingUp(TableEntry entry) {
        return usableWeight(entry) > 0 && slowStart.isWarmingUp(entry.endpoint());
    }

    /** Returns the weight that proxies use; they send nothing to ejected endpoints. */
    private static double usableWeight(TableEntry entry) {
        Endpoint endpoint = entry.endpoint();
        boolean isUsed = endpoint.isAvailable() && !endpoint.isEjectedFromAllTables();
        return isUsed ? entry.sentWeight() : 0;
    }

    private void limitTables(RoutingTable fullTable, Endpoint endpoint, double load) {
        double highest = overloaded.contains(endpoint) ? 1 : safeLoad;
        if (!(load > highest)) {
            return;
        }
        for (RoutingTable table : tables.all()) {
            if (table.fullTable() == fullTable
                    && table.sendsTrafficTo(endpoint)
                    && dependsOnWarmingEndpoints(table)) {
                overloaded.add(endpoint);
                limits.merge(table, 1 / load, Math::min);
            }
        }
    }

    private boolean dependsOnWarmingEndpoints(RoutingTable table) {
        double weight = weight(table);
        return weight - warmingWeight(table) < MIN_WARM_SHARE * weight;
    }
}
