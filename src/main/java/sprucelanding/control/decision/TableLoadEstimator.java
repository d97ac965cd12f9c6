package sprucelanding.control.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimator of the load that the requests of each full table cause, from all governors' proxies. A
 * table keeps its estimate while it has no endpoints, so that the load of endpoints that return can
 * be foreseen. Loads are counted in warm endpoints of mean speed that would be fully busy.
 */
final class TableLoadEstimator {
    /** Mean load that is assumed while endpoints have not reported any. */
    private static final double ASSUMED_LOAD = 0.5;

    /** Mean load above which the requests may need more than the endpoints can show. */
    private static final double SATURATED_LOAD = 0.95;

    /**
     * Share of a higher demand that is kept in an update. Some hosts count only the requests that
     * were admitted, so that a limit appears to reduce the demand.
     */
    private static final double KEPT_DEMAND_SHARE = 0.9;

    /** Share of a lower estimate that is kept in an update. */
    private static final double KEPT_SHARE_RISING = 0.5;

    /**
     * Share of a higher estimate that is kept in an update. The estimate falls slowly, because the
     * load also falls while endpoints fail one after the other.
     */
    private static final double KEPT_SHARE_FALLING = 0.95;

    private final RoutingTables tables;
    private final SlowStart slowStart;
    private final SpeedPrior speedPrior;
    private final LoadEstimator loads;

    /**
     * By full table, the demand relative to the demand that was expected when the proxies joined.
     * The ratio does not change when proxies come from another governor or go there.
     */
    private final Map<RoutingTable, Double> relativeDemands = new HashMap<>();

    /** By full table, the busy endpoints for each unit of relative demand. */
    private final Map<RoutingTable, Double> busyPerDemand = new HashMap<>();

    private boolean hasLoadReports;

    TableLoadEstimator(
            RoutingTables tables, SlowStart slowStart, SpeedPrior speedPrior, LoadEstimator loads) {
        this.tables = tables;
        this.slowStart = slowStart;
        this.speedPrior = speedPrior;
        this.loads = loads;
    }

    /**
     * Updates the demand for a full table. Called in each periodic update.
     *
     * @param demand requests per second to the users of the table and its subsets
     * @param baselineDemand requests per second to these users that were expected when they joined
     */
    void updateDemand(RoutingTable fullTable, double demand, double baselineDemand) {
        if (baselineDemand > 0) {
            double kept = KEPT_DEMAND_SHARE * relativeDemands.getOrDefault(fullTable, 0.0);
            relativeDemands.put(fullTable, Math.max(kept, demand / baselineDemand));
        }
    }

    private double relativeDemand(RoutingTable fullTable) {
        return relativeDemands.getOrDefault(fullTable, 1.0);
    }

    /**
     * Updates the estimate of a full table. Called in each periodic update in which the load
     * reports show requests that were all admitted, as far as this table is concerned.
     *
     * @param isShedding whether requests are shed because of the load of the whole fleet
     */
    void updateLoad(RoutingTable fullTable, boolean isShedding) {
        double demand = relativeDemand(fullTable);
        List<Endpoint> serving =
                fullTable.endpoints().stream()
                        .filter(endpoint -> endpoint.isAvailable() && !endpoint.isEjected())
                        .toList();
        List<Endpoint> reporting = serving.stream().filter(loads::hasFreshReport).toList();
        hasLoadReports |= !reporting.isEmpty();
        double meanLoad = hasLoadReports ? meanLoad(reporting) : ASSUMED_LOAD;
        double capacity = SequentialSum.of(serving, this::presentCapacity);
        if (demand > 0 && meanLoad > 0 && capacity > 0) {
            boolean isLowerBound = isShedding || hasLoadReports && meanLoad > SATURATED_LOAD;
            addObservation(fullTable, meanLoad * capacity / demand, isLowerBound);
        }
    }

    /** Returns the mean load of the endpoints; 0 if they have no capacity. */
    private double meanLoad(List<Endpoint> endpoints) {
        double capacity = SequentialSum.of(endpoints, this::presentCapacity);
        double busy = SequentialSum.of(endpoints, e -> e.stats().load() * presentCapacity(e));
        return capacity > 0 ? busy / capacity : 0;
    }

    private void addObservation(RoutingTable fullTable, double observed, boolean isLowerBound) {
        double previous = busyPerDemand.getOrDefault(fullTable, observed);
        if (observed >= previous) {
            busyPerDemand.put(fullTable, observed + (previous - observed) * KEPT_SHARE_RISING);
        } else if (!isLowerBound) {
            busyPerDemand.put(fullTable, observed + (previous - observed) * KEPT_SHARE_FALLING);
        }
    }

    /** Returns the present capacity of an endpoint; 1 is that of a warm one of mean speed. */
    double presentCapacity(Endpoint endpoint) {
        return speedPrior.expected(endpoint) * slowStart.capacityShare(endpoint);
    }

    /**
     * Returns the number of warm endpoints of mean speed that all requests of a full table would
     * keep busy. Without an estimate, the tables of the same request classes in other zones are
     * taken to be alike.
     */
    double busyEndpoints(RoutingTable fullTable) {
        Double estimate = busyPerDemand.get(fullTable);
        double usual = estimate == null ? largestOfAllZones(fullTable) : estimate;
        return usual * relativeDemand(fullTable);
    }

    private double largestOfAllZones(RoutingTable fullTable) {
        double largest = 0;
        for (RoutingTable other : tables.full()) {
            if (other.requestClasses().equals(fullTable.requestClasses())) {
                double assumed = ASSUMED_LOAD * other.endpoints().size();
                largest = Math.max(largest, busyPerDemand.getOrDefault(other, assumed));
            }
        }
        return largest;
    }
}
