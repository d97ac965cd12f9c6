package sprucelanding.control.decision;

import java.util.Collection;
import java.util.List;

/**
 * Policy that determines the weight of each endpoint in each table. The policy follows A. Adewojo
 * and J. Bass, "A Novel Weight-assignment Load Balancing Algorithm for Cloud Applications" (CLOSER
 * 2022). The file docs/design.md gives the reasons for the differences.
 *
 * <ul>
 *   <li>The target weight is inversely proportional to the load (equations 1 and 2). This policy
 *       uses the load per share of the received traffic. That replaces the factor for endpoints
 *       below the average load (equation 3).
 *   <li>Each update moves a weight halfway to its target and rounds the result.
 *   <li>An endpoint whose load exceeds a threshold gets weight zero (algorithm 1). {@link
 *       OutlierDetector} ejects such an endpoint, and {@link #effectiveWeight} returns zero during
 *       the ejection.
 *   <li>A new or restored endpoint starts with a small weight, which grows by at most a limited
 *       factor in each update.
 * </ul>
 */
final class WeightPolicy {
    /** Target weight of an endpoint at full load. */
    private static final double FULL_LOAD_WEIGHT = 100;

    /** Lower limit of a load in the calculation of target weights. */
    private static final double MIN_LOAD = 0.05;

    /** Load that is assumed while no load is known. */
    private static final double DEFAULT_LOAD = 0.5;

    /** Initial weight of an endpoint that enters service, as a share of the table's mean weight. */
    private static final double SLOW_START_SHARE = 0.1;

    /** Maximum factor by which the weight grows in one update during the slow start. */
    private static final double MAX_SLOW_START_GROWTH = 1.5;

    /**
     * Ratio of an endpoint's load to the mean load above which its weight is reduced immediately.
     */
    private static final double SHRINK_LOAD_RATIO = 1.25;

    /** Minimum factor of such a reduction in one update, before the halfway step. */
    private static final double MIN_SHRINK_FACTOR = 0.5;

    /** Lower limit of a speed in the calculation of target weights. */
    private static final double MIN_SPEED = 1e-3;

    /** First part of the warm-up, during which an endpoint may be withheld from the tables. */
    private static final double EARLY_WARMUP_PART = 0.5;

    /** Share of failed attempts above which endpoints in their early warm-up are withheld. */
    private static final double WITHHOLD_FAILURE_SHARE = 0.15;

    /** Share of traffic from new proxies above which endpoints in early warm-up are withheld. */
    private static final double WITHHOLD_NEW_TRAFFIC_SHARE = 0.15;

    /** Share of endpoints in their early warm-up above which no endpoint is withheld. */
    private static final double MAX_WITHHELD_SHARE = 0.5;

    private final EventTime time;
    private final SlowStart slowStart;
    private final SpeedPrior speedPrior;
    private final LoadEstimator loads;
    private final RoutingTables tables;
    private final RequestClass[] requestClasses;

    /**
     * Whether endpoints in their early warm-up are withheld from the tables. While the fleet is
     * congested, these endpoints would get all the traffic that proxies withdraw from other
     * endpoints.
     */
    private boolean withholdsWarmingEndpoints = true;

    WeightPolicy(
            EventTime time,
            SlowStart slowStart,
            SpeedPrior speedPrior,
            LoadEstimator loads,
            RoutingTables tables,
            RequestClass[] requestClasses) {
        this.time = time;
        this.slowStart = slowStart;
        this.speedPrior = speedPrior;
        this.loads = loads;
        this.tables = tables;
        this.requestClasses = requestClasses;
    }

    /** Returns the weight that proxies should use; 0 while the endpoint must not get traffic. */
    double effectiveWeight(TableEntry entry) {
        Endpoint endpoint = entry.endpoint();
        boolean excluded =
                endpoint.isEjected()
                        || !endpoint.isAvailable()
                        || withholdsWarmingEndpoints
                                && slowStart.isInFirstPart(EARLY_WARMUP_PART, endpoint);
        return excluded ? 0 : entry.weight();
    }

    /** Returns the number of entries of the table that should get traffic. */
    double activeEntryCount(RoutingTable table) {
        return SequentialSum.of(table.entries(), entry -> effectiveWeight(entry) > 0 ? 1 : 0);
    }

    /** Returns the mean weight of a table's active entries as if all endpoints were warm. */
    double meanWeight(RoutingTable table) {
        double warmEquivalentEntries =
                SequentialSum.of(
                        table.entries(),
                        entry ->
                                effectiveWeight(entry) > 0
                                        ? slowStart.capacityShare(entry.endpoint())
                                        : 0);
        return warmEquivalentEntries == 0
                ? FULL_LOAD_WEIGHT / DEFAULT_LOAD
                : SequentialSum.of(table.entries(), this::effectiveWeight) / warmEquivalentEntries;
    }

    /** Stops withholding endpoints that are in their early warm-up. */
    void releaseWarmingEndpoints() {
        withholdsWarmingEndpoints = false;
    }

    /**
     * Decides whether endpoints in their early warm-up are withheld. Called once in each periodic
     * update.
     */
    void decideWithholding(List<Endpoint> available, ProxyRegistry proxies) {
        long warming =
                available.stream()
                        .filter(endpoint -> slowStart.isInFirstPart(EARLY_WARMUP_PART, endpoint))
                        .count();
        double newDemand =
                SequentialSum.of(
                        proxies.all(),
                        proxy ->
                                time.now() - proxy.joinedAt() < loads.statsSettlingTime()
                                        ? proxy.baselineDemand()
                                        : 0);
        boolean isTrafficUnstable =
                loads.failureShare() > WITHHOLD_FAILURE_SHARE
                        || newDemand > WITHHOLD_NEW_TRAFFIC_SHARE * proxies.baselineDemand();
        withholdsWarmingEndpoints =
                warming <= MAX_WITHHELD_SHARE * available.size() && isTrafficUnstable;
    }

    /** Updates the weights of all tables. Called once in each periodic update. */
    void updateWeights(List<Endpoint> available) {
        updateRelativeDemand(available);
        tables.all().forEach(this::updateWeights);
    }

    private void updateRelativeDemand(List<Endpoint> available) {
        double totalSpeed = SequentialSum.of(available, e -> e.isEjected() ? 0 : e.stats().speed());
        double totalDemand = SequentialSum.of(tables.full(), this::admittedDemand);
        for (RoutingTable table : tables.full()) {
            double tableSpeed =
                    SequentialSum.of(
                            table.entries(),
                            entry ->
                                    entry.endpoint().isEjected()
                                            ? 0
                                            : entry.endpoint().stats().speed());
            table.setRelativeDemand(
                    tableSpeed > 0 && totalDemand > 0
                            ? admittedDemand(table) / tableSpeed * totalSpeed / totalDemand
                            : 0);
        }
    }

    private double admittedDemand(RoutingTable table) {
        return table.requestClasses().stream()
                .mapToDouble(index -> requestClasses[index].admittedDemand())
                .sum();
    }

    private void updateWeights(RoutingTable table) {
        double mean = meanWeight(table);
        int fullSize = table.fullTable().endpoints().size();
        List<RoutingTable> smallerTables =
                tables.full().stream()
                        .filter(other -> other.endpoints().size() < fullSize)
                        .toList();
        for (TableEntry entry : table.entries()) {
            double target = targetWeight(entry, smallerTables);
            double halfway = Math.rint((entry.weight() + target) / 2);
            if (effectiveWeight(entry) > 0) {
                entry.setWeight(Math.max(1, cappedBySlowStart(entry, halfway, mean)));
            }
        }
    }

    /**
     * Returns the weight at which the endpoint's load would be equal to the mean load.
     *
     * @param smallerTables full tables with fewer endpoints than the table of the entry
     */
    private double targetWeight(TableEntry entry, List<RoutingTable> smallerTables) {
        Endpoint endpoint = entry.endpoint();
        EndpointStats stats = endpoint.stats();
        double loadFromSmallerTables =
                SequentialSum.of(
                        smallerTables,
                        table -> table.accepts(endpoint) ? table.relativeDemand() : 0);
        double capacityLeft = Math.max(MIN_LOAD, 1 - loadFromSmallerTables);
        double loadPerShare = DEFAULT_LOAD / Math.max(stats.speed(), MIN_SPEED);
        double endpointSuccessShare = 1 - stats.failedAttempts() / (stats.attempts() + 2);
        double relativeSuccess = Math.min(1, endpointSuccessShare / (1 - loads.failureShare()));
        double target =
                FULL_LOAD_WEIGHT
                        / Math.max(MIN_LOAD, loadPerShare)
                        * capacityLeft
                        * relativeSuccess
                        * relativeSuccess;
        boolean isHeavilyLoaded =
                stats.smoothedLoad() > AdmissionController.BUSY_LOAD
                        && stats.smoothedLoad() > SHRINK_LOAD_RATIO * loads.meanLoad();
        if (!isHeavilyLoaded) {
            return target;
        }
        double shrinkFactor =
                Math.max(MIN_SHRINK_FACTOR, 2 * loads.meanLoad() / stats.smoothedLoad() - 1);
        return Math.min(target, entry.weight() * shrinkFactor);
    }

    private double cappedBySlowStart(TableEntry entry, double weight, double mean) {
        Endpoint endpoint = entry.endpoint();
        boolean warmingUp = slowStart.isWarmingUp(endpoint);
        if (entry.weight() >= mean / 2 && !warmingUp) {
            return weight;
        }
        double grownWeight =
                Math.max(SLOW_START_SHARE * mean, entry.weight() * MAX_SLOW_START_GROWTH);
        double warmWeight = mean * speedPrior.expected(endpoint);
        double cap =
                warmingUp
                        ? Math.min(grownWeight, slowStart.capacityShare(endpoint) * warmWeight)
                        : grownWeight;
        return Math.min(weight, cap);
    }

    /**
     * Starts the slow start of an endpoint that enters service. The statistics of the endpoint are
     * reset, and the endpoint gets a small initial weight in each table. On the first list since
     * the start, an endpoint that has been running for a long time gets its full expected weight.
     */
    void beginSlowStart(Endpoint endpoint, List<Endpoint> available, boolean onFirstList) {
        endpoint.stats().reset();
        for (RoutingTable fullTable : tables.full()) {
            if (fullTable.accepts(endpoint)) {
                double weight = initialWeight(endpoint, fullTable, available, onFirstList);
                TableEntry entry = fullTable.entryOf(endpoint);
                entry.setWeight(Math.max(1, Math.rint(weight)));
                copyToSubsets(entry);
            }
        }
    }

    private double initialWeight(
            Endpoint endpoint,
            RoutingTable fullTable,
            Collection<Endpoint> available,
            boolean onFirstList) {
        List<Endpoint> accepted = available.stream().filter(fullTable::accepts).toList();
        double share =
                speedPrior.expected(endpoint)
                        * accepted.size()
                        / SequentialSum.of(accepted, speedPrior::expected)
                        * slowStart.capacityShare(endpoint);
        if (onFirstList) {
            return FULL_LOAD_WEIGHT / DEFAULT_LOAD * share;
        }
        boolean isNewProcess =
                endpoint.startedAt() > 0 && endpoint.ejection().earliestEnd() == EventTime.NEVER;
        double part = isNewProcess ? share : SLOW_START_SHARE;
        return meanWeight(fullTable) * Math.max(SLOW_START_SHARE, part);
    }

    private void copyToSubsets(TableEntry fullEntry) {
        for (RoutingTable table : tables.all()) {
            if (table.fullTable() == fullEntry.table() && !table.isFull()) {
                TableEntry entry = table.existingEntryOf(fullEntry.endpoint());
                if (entry != null) {
                    entry.setWeight(fullEntry.weight());
                }
            }
        }
    }
}
