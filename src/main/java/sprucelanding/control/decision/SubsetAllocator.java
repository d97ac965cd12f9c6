package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Divides the full tables into subsets of a few endpoints, and assigns a subset to each proxy.
 * There are two reasons for subsets:
 *
 * <ul>
 *   <li>The channel cannot carry full tables to all proxies in time. Subsets then have the largest
 *       size that the channel allows, the normal size.
 *   <li>Attempts fail at most endpoints because connections are scarce. Subsets are then smaller
 *       for a while and grow back to the normal size.
 * </ul>
 */
final class SubsetAllocator {
    /** The size of subsets if proxies use full tables. */
    private static final int FULL = 0;

    /**
     * Time within which the usual proxies of a governor must receive their tables; otherwise they
     * use subsets. This is the time until the effect of an order appears in the reports on which
     * the weights are based.
     */
    private static final double TABLE_ROLLOUT_TIME_MS = 4000;

    /** Smallest size of a subset if the channel cannot carry full tables. */
    private static final int MIN_NORMAL_SIZE = 16;

    /** Number of subsets that contain the same endpoint if the channel cannot carry full tables. */
    private static final int SUBSETS_PER_ENDPOINT = 4;

    /** Smallest size of a subset if connections are scarce. */
    private static final int CONNECTION_SHORTAGE_SIZE = 3;

    /** Number of proxies with little traffic that share a subset if connections are scarce. */
    private static final int PROXIES_PER_SUBSET = 2;

    /** Capacity of a subset relative to the need of its traffic if connections are scarce. */
    private static final double CAPACITY_FACTOR = 1.5;

    /**
     * Median share of failed attempts at an endpoint that shows a shortage of connections, if the
     * endpoints have spare capacity.
     */
    private static final double CONNECTION_SHORTAGE_FAILURE_SHARE = 0.3;

    /** Longest time without a shortage before small subsets grow. */
    private static final double MAX_GROWTH_BACKOFF_MS = 40_000;

    /** Initial time without a shortage before small subsets grow; doubled at each shortage. */
    private static final double INITIAL_GROWTH_BACKOFF_MS = MAX_GROWTH_BACKOFF_MS / 8;

    /** Range of the random values that give equally used endpoints a random order. */
    private static final double RANDOM_ORDER_SPAN = 0.25;

    private final EventTime time;
    private final DecisionLog log;
    private final SplittableRandom random;
    private final RoutingTables tables;
    private final ProxyRegistry proxies;
    private final LoadEstimator loads;
    private final WeightPolicy weights;
    private final Runnable whenReallocated;
    private double affordableTableSize = Double.POSITIVE_INFINITY;

    /** Number of endpoints in a subset at present. */
    private int size = FULL;

    /** Number of endpoints in a subset without a shortage of connections. */
    private int normalSize = FULL;

    private double lastAllocationTime = EventTime.NEVER;
    private double growthBackoff = INITIAL_GROWTH_BACKOFF_MS;

    /** The number of proxies or subsets that use each endpoint, updated during an allocation. */
    private final Map<Endpoint, Double> usage = new HashMap<>();

    /**
     * Creates an allocator that does not divide the tables at first.
     *
     * @param whenReallocated called before the subsets of the proxies may change
     */
    SubsetAllocator(
            EventTime time,
            DecisionLog log,
            SplittableRandom random,
            RoutingTables tables,
            ProxyRegistry proxies,
            LoadEstimator loads,
            WeightPolicy weights,
            Runnable whenReallocated) {
        this.time = time;
        this.log = log;
        this.random = random;
        this.tables = tables;
        this.proxies = proxies;
        this.loads = loads;
        this.weights = weights;
        this.whenReallocated = whenReallocated;
    }

    /**
     * Calculates the largest size of tables at which the tables reach the usual number of proxies
     * of a governor in time.
     *
     * @param usualProxies usual number of proxies of one governor; 0 if unknown, which means no
     *     limit
     * @param requestClassCount number of request classes, whose admission levels are sent with each
     *     table
     */
    void configure(ChannelBudget channel, double usualProxies, int requestClassCount) {
        double entriesPerProxy =
                usualProxies > 0
                        ? TABLE_ROLLOUT_TIME_MS
                                * channel.configuredRate()
                                * ChannelBudget.TRUSTED_RATE_SHARE
                                / usualProxies
                        : 0;
        affordableTableSize =
                entriesPerProxy > 0
                        ? entriesPerProxy - channel.totalMessageOverhead() - 1 - requestClassCount
                        : Double.POSITIVE_INFINITY;
    }

    /** Returns whether subsets have the size that applies without a shortage of connections. */
    boolean hasNormalSize() {
        return size == normalSize;
    }

    /** Adapts the subsets to an update of the endpoint list. */
    void endpointListUpdated(List<Endpoint> available) {
        // tables are divided if less than half of the endpoints fit, until all endpoints fit
        double hysteresis = normalSize > FULL ? 1 : 2.0;
        boolean isDivided = affordableTableSize < available.size() / hysteresis;
        int previousNormalSize = normalSize;
        if (!isDivided) {
            normalSize = FULL;
        } else if (normalSize == FULL) {
            normalSize = (int) Math.max(MIN_NORMAL_SIZE, affordableTableSize);
        }
        if (previousNormalSize != normalSize) {
            size = size == previousNormalSize ? normalSize : size;
            allocate(available);
        } else if (size > FULL && hasNormalSize()) {
            tables.full().forEach(fullTable -> refill(fullTable, available));
        }
    }

    /**
     * Shrinks the subsets if connections are scarce, and grows them again after a while.
     * Connections are scarce if attempts fail at most endpoints although the endpoints answer
     * health checks and have spare capacity. Small subsets do harm if attempts fail everywhere for
     * other reasons.
     *
     * @param load mean load as last reported
     * @param isOverloaded whether requests are shed
     */
    void resize(List<Endpoint> available, double load, boolean isOverloaded) {
        double failureShare = medianFailureShare(available);
        boolean isConnectionShortage =
                !isOverloaded
                        && Math.max(load, loads.meanLoad()) < AdmissionController.SATURATED_LOAD
                        && failureShare > CONNECTION_SHORTAGE_FAILURE_SHARE;
        double sinceLastAllocation = time.now() - lastAllocationTime;
        boolean isResizeDue =
                isConnectionShortage
                        ? size != CONNECTION_SHORTAGE_SIZE
                                && sinceLastAllocation > loads.statsSettlingTime()
                        : !hasNormalSize() && sinceLastAllocation > growthBackoff;
        if (!isResizeDue) {
            return;
        }
        if (isConnectionShortage) {
            size = CONNECTION_SHORTAGE_SIZE;
            growthBackoff = Math.min(MAX_GROWTH_BACKOFF_MS, growthBackoff * 2);
        } else {
            size = grownSize(available.size());
        }
        log.add(new DecisionEvent.SubsetsResized(size, failureShare));
        allocate(available);
    }

    private static double medianFailureShare(List<Endpoint> available) {
        double[] shares =
                available.stream()
                        .filter(e -> e.healthChecks().missed() == 0 && e.stats().attempts() >= 1)
                        .mapToDouble(e -> e.stats().failedAttempts() / (e.stats().attempts() + 1))
                        .sorted()
                        .toArray();
        return shares.length == 0 ? 0 : shares[shares.length / 2];
    }

    private int grownSize(int availableEndpoints) {
        int doubled = 4 * size > availableEndpoints ? FULL : 2 * size;
        boolean isPastNormal = doubled == FULL || doubled > normalSize;
        return normalSize > FULL && isPastNormal ? normalSize : doubled;
    }

    /** Reallocates all subsets if a subset of the full table has no endpoint with traffic left. */
    void reallocateIfEmptied(RoutingTable fullTable, List<Endpoint> available) {
        if (fullTable.subsets().stream()
                .anyMatch(subset -> weights.activeEntryCount(subset) == 0)) {
            allocate(available);
        }
    }

    private void allocate(List<Endpoint> available) {
        lastAllocationTime = time.now();
        whenReallocated.run();
        for (RoutingTable fullTable : tables.full()) {
            fullTable.subsets().clear();
            if (size == FULL) {
                tables.renumberIfCleared(fullTable);
            }
        }
        usage.clear();
        available.forEach(endpoint -> usage.put(endpoint, random.nextDouble() * RANDOM_ORDER_SPAN));
        if (size == FULL) {
            return;
        }
        List<Proxy> busiestFirst = new ArrayList<>(proxies.all());
        busiestFirst.sort(Comparator.comparingDouble(proxy -> -proxy.totalDemand()));
        if (hasNormalSize()) {
            allocateAtNormalSize(available.size(), busiestFirst);
        } else {
            allocateSmallSubsets(busiestFirst);
        }
    }

    /**
     * Creates enough subsets that each endpoint is in several. Each proxy is then assigned the
     * subset with the least demand.
     */
    private void allocateAtNormalSize(int endpoints, List<Proxy> busiestFirst) {
        int count = (int) Math.ceil((double) SUBSETS_PER_ENDPOINT * endpoints / size);
        for (int i = 0; i < count; i++) {
            tables.full().forEach(fullTable -> createSubset(fullTable, 0, 1));
        }
        busiestFirst.forEach(proxy -> proxy.assignSubset(-1));
        busiestFirst.forEach(this::assign);
    }

    /** Creates a subset for each proxy with much traffic and for each pair of the other proxies. */
    private void allocateSmallSubsets(List<Proxy> busiestFirst) {
        double demand = Math.max(1, SequentialSum.of(busiestFirst, Proxy::totalDemand));
        int availableEndpoints = usage.size();
        int next = 0;
        for (int subset = 0; next < busiestFirst.size(); subset++) {
            double share = 0;
            int users = 0;
            while (next < busiestFirst.size()
                    && users < PROXIES_PER_SUBSET
                    && share * availableEndpoints < size) {
                Proxy proxy = busiestFirst.get(next);
                share += proxy.totalDemand() / demand;
                proxy.assignSubset(subset);
                next++;
                users++;
            }
            for (RoutingTable fullTable : tables.full()) {
                createSubset(fullTable, share, users);
            }
        }
    }

    /**
     * Creates a subset of the endpoints that are used least so far. The subset has the current
     * size, or more endpoints if its share of the traffic needs them.
     */
    private void createSubset(RoutingTable fullTable, double trafficShare, int users) {
        RoutingTable subset = tables.createSubset(fullTable);
        fullTable.subsets().add(subset);
        List<TableEntry> leastUsedFirst = new ArrayList<>(fullTable.entries());
        leastUsedFirst.removeIf(entry -> weights.effectiveWeight(entry) == 0);
        leastUsedFirst.sort(Comparator.comparingDouble(entry -> usageOf(entry.endpoint())));
        double missingWeight =
                CAPACITY_FACTOR
                        * trafficShare
                        * SequentialSum.of(leastUsedFirst, TableEntry::weight);
        for (int i = 0; i < leastUsedFirst.size() && (i < size || missingWeight > 0); i++) {
            TableEntry entry = leastUsedFirst.get(i);
            addUsage(entry.endpoint(), users);
            subset.entryOf(entry.endpoint()).setWeight(entry.weight());
            missingWeight -= entry.weight();
        }
    }

    /** Assigns the subset with the least demand to a proxy. */
    void assign(Proxy proxy) {
        double[] traffic = new double[Math.max(1, tables.full().get(0).subsets().size())];
        proxies.all().stream()
                .filter(other -> other.subset() >= 0 && other != proxy)
                .forEach(
                        other ->
                                traffic[other.subset() % traffic.length] +=
                                        other.baselineDemand() + 1);
        int least =
                IntStream.range(0, traffic.length)
                        .boxed()
                        .min(Comparator.comparingDouble(index -> traffic[index]))
                        .get();
        proxy.assignSubset(least);
    }

    /**
     * Replaces endpoints that subsets have lost, first by the endpoints in the fewest subsets. Then
     * adds each endpoint that is in no subset to a subset.
     */
    private void refill(RoutingTable fullTable, List<Endpoint> available) {
        List<RoutingTable> subsets = fullTable.subsets();
        usage.clear();
        available.forEach(
                endpoint ->
                        usage.put(
                                endpoint,
                                SequentialSum.of(subsets, s -> s.hasEntryOf(endpoint) ? 1 : 0)));
        List<Endpoint> accepted = available.stream().filter(fullTable::accepts).toList();
        int targetSize = Math.min(size, accepted.size());
        for (RoutingTable subset : subsets) {
            for (int n = subset.availableEntries(); n < targetSize; n++) {
                accepted.stream()
                        .filter(endpoint -> !subset.hasEntryOf(endpoint))
                        .min(Comparator.comparingDouble(this::usageOf))
                        .ifPresent(endpoint -> addTo(subset, endpoint));
            }
        }
        for (Endpoint endpoint : accepted) {
            if (usageOf(endpoint) < 1) {
                subsets.stream()
                        .min(Comparator.comparingInt(RoutingTable::availableEntries))
                        .ifPresent(subset -> addTo(subset, endpoint));
            }
        }
    }

    private void addTo(RoutingTable subset, Endpoint endpoint) {
        subset.addFromFullTable(endpoint);
        addUsage(endpoint, 1);
    }

    private double usageOf(Endpoint endpoint) {
        return usage.getOrDefault(endpoint, 0.0);
    }

    private void addUsage(Endpoint endpoint, double users) {
        usage.merge(endpoint, users, Double::sum);
    }
}
