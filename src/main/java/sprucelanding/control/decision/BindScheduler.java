package sprucelanding.control.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Binds proxies to their assigned tables. Proxies whose tables have to be replaced soonest come
 * first, then the proxies with the most traffic. Proxies are assigned starter tables if the binds
 * to their regular tables would miss the deadline.
 *
 * <p>A governor that has just started observes the load before it takes over proxies with tables of
 * another governor. Otherwise all endpoints would come into service at once.
 */
final class BindScheduler {
    /** Deadlines within the same window count as equal, ms. */
    private static final double DEADLINE_WINDOW_MS = 250;

    /**
     * Length of a plan from which joins cause a new plan only once in {@link #PLAN_INTERVAL_MS}.
     */
    private static final int MIN_PLANNED_BINDS_TO_DELAY_PLAN = 32;

    /** Shortest time between two plans that are caused by joins, ms. */
    private static final double PLAN_INTERVAL_MS = 100;

    /** Share of the channel that is used to move proxies from starter tables to regular tables. */
    private static final double RELEASE_CHANNEL_SHARE = 0.5;

    /** A proxy to bind and the deadline of the bind, ms; infinite if there is no deadline. */
    private record PendingBind(Proxy proxy, double deadline) {}

    private final EventTime time;
    private final ProxyRegistry proxies;
    private final RoutingTables tables;
    private final ChannelBudget channel;
    private final DrainTracker drains;
    private final JoinForecast joins;
    private final WeightPolicy weights;
    private final AdmissionController admission;
    private final StarterTables starterTables;
    private final EndpointRegistry endpoints;
    private final RestorationScheduler restorations;
    private final int requestClassCount;
    private double drainGrace = Double.POSITIVE_INFINITY;

    /** The binds to send, in order; null if a new plan is needed. */
    private ArrayDeque<PendingBind> plan;

    private boolean hasNewProxies;
    private double lastPlanTime = EventTime.NEVER;

    /** Whether there is a table size with which all deadlines can be met. */
    private boolean canMeetDeadlines = true;

    /** The earliest deadline of a proxy that can be bound now, ms; infinite if there is none. */
    private double nextDeadline = Double.POSITIVE_INFINITY;

    private int bindsSent;

    BindScheduler(
            ControllerState state, StarterTables starterTables, RestorationScheduler restorations) {
        time = state.time();
        proxies = state.proxies();
        tables = state.tables();
        channel = state.channel();
        drains = state.drains();
        joins = state.joins();
        weights = state.weights();
        admission = state.admission();
        endpoints = state.endpoints();
        this.starterTables = starterTables;
        this.restorations = restorations;
        requestClassCount = state.requestClasses().length;
    }

    /** Sets the time within which proxies must stop sending to a removed endpoint, ms. */
    void configure(double grace) {
        drainGrace = grace;
    }

    /** Discards the plan because tables or assignments have changed. */
    void invalidatePlan() {
        plan = null;
    }

    void proxyJoined() {
        hasNewProxies = true;
    }

    /** Returns whether a proxy that can be bound now has a deadline. */
    boolean hasDeadline() {
        updatePlan();
        return nextDeadline < Double.POSITIVE_INFINITY;
    }

    /** Returns the earliest deadline of a proxy that can be bound now, as last planned, ms. */
    double nextDeadline() {
        return nextDeadline;
    }

    /** Returns whether the proxy may be bound yet. */
    private boolean isReadyToBind(Proxy proxy) {
        return proxy.isUnconfigured() || time.updateCount() > EndpointRegistry.OBSERVATION_UPDATES;
    }

    private boolean needsAnyBind(Proxy proxy) {
        return tables.full().stream().anyMatch(proxy::needsBind);
    }

    /**
     * Returns whether the bind of the proxy may be too late for the removed endpoints, while an
     * ejection of these endpoints would be in time.
     *
     * @param ejectionEntries cost of the ejections
     */
    boolean isBoundTooLate(Proxy proxy, double ejectionEntries) {
        if (drainGrace == Double.POSITIVE_INFINITY) {
            return true; // without a grace, no deadline is known
        }
        double interval = EventTime.UPDATE_INTERVAL_MS;
        double deadline = drains.bindDeadline(proxy.id) - channel.maxTransitTime();
        double bindableFrom = isReadyToBind(proxy) ? time.now() : time.now() + interval;
        double ejectionTime =
                time.now() + (channel.queue().entries() + ejectionEntries) / channel.measuredRate();
        return (!canMeetDeadlines || deadline < bindableFrom + interval) && ejectionTime < deadline;
    }

    /** Orders the next bind. Returns false if no bind fits the channel. */
    boolean sendNext(ControllerOutput output) {
        updatePlan();
        for (Iterator<PendingBind> iterator = plan.iterator(); iterator.hasNext(); ) {
            PendingBind pending = iterator.next();
            Proxy proxy = pending.proxy();
            if (!proxies.isJoined(proxy) || !needsAnyBind(proxy)) {
                iterator.remove();
                continue;
            }
            RoutingTable table = isReadyToBind(proxy) ? nextTable(proxy) : null;
            if (table != null && channel.allowsMessage(proxy, ChannelPriority.URGENT)) {
                nextDeadline = pending.deadline();
                return bind(proxy, table, output);
            }
        }
        nextDeadline = Double.POSITIVE_INFINITY;
        return false;
    }

    /** Returns the next table to bind the proxy to; null if there is none yet. */
    private RoutingTable nextTable(Proxy proxy) {
        for (RoutingTable fullTable : tables.full()) {
            RoutingTable table = proxy.assignedTable(fullTable);
            if (proxy.needsBind(fullTable) && isReadyToSend(table)) {
                return table;
            }
        }
        return null;
    }

    /**
     * Returns whether proxies may be bound to the table. An empty table is sent only if no listed
     * endpoint can serve its request classes, so that a proxy does not go on with endpoints that
     * have left. Otherwise its entries are about to be sent.
     */
    private boolean isReadyToSend(RoutingTable table) {
        return !table.isEmpty()
                || endpoints.hasCompleteList() && table.fullTable().availableEntries() == 0;
    }

    private boolean bind(Proxy proxy, RoutingTable table, ControllerOutput output) {
        int cost = bindCost(proxy, table);
        if (!channel.book(List.of(proxy), cost, ChannelPriority.URGENT, Purpose.BIND)) {
            return false;
        }
        if (proxy.isUnconfigured() && !proxy.isBound()) {
            admission.expectLoadChange(proxies.shareOfBaselineDemand(proxy));
        }
        proxy.bindTo(table);
        bindsSent++;
        if (!needsAnyBind(proxy)) {
            drains.tablesCompleted(proxy.id, channel.queue().nextMessageNumber());
            restorations.proxyBound(proxy);
        }
        for (Endpoint endpoint : table.endpoints()) {
            if (!endpoint.isAvailable() && table.sendsTrafficTo(endpoint)) {
                drains.removalRequired(proxy.id, endpoint.id);
            }
        }
        output.bindProxy(table.number(), proxy, table.requestClasses());
        return true;
    }

    /** Returns the cost of a bind: the table, its admission levels and restored endpoints. */
    private int bindCost(Proxy proxy, RoutingTable table) {
        int cost = 1 + table.requestClasses().cardinality();
        for (Endpoint endpoint : table.endpoints()) {
            if (table.sendsTrafficTo(endpoint)) {
                boolean needsRestoration = !proxy.isUnconfigured() && mayNeedRestoration(endpoint);
                cost += needsRestoration ? 2 : 1;
            }
        }
        return cost;
    }

    private static boolean mayNeedRestoration(Endpoint endpoint) {
        return endpoint.mayBeEjectedElsewhere() || endpoint.isEjectedFromAllTables();
    }

    private void updatePlan() {
        boolean isOutdated =
                hasNewProxies
                        && (plan != null && plan.size() < MIN_PLANNED_BINDS_TO_DELAY_PLAN
                                || time.now() - lastPlanTime >= PLAN_INTERVAL_MS);
        if (plan == null || isOutdated) {
            makePlan();
        }
    }

    /** Sorts the pending binds and assigns starter tables where they are needed. */
    private void makePlan() {
        hasNewProxies = false;
        lastPlanTime = time.now();
        List<PendingBind> binds = pendingBinds();
        binds.sort(
                Comparator.<PendingBind>comparingDouble(
                                bind -> Math.floor(bind.deadline() / DEADLINE_WINDOW_MS))
                        .thenComparingDouble(bind -> -bind.proxy().baselineDemand()));
        plan = new ArrayDeque<>(binds);
        List<PendingBind> urgent =
                binds.stream()
                        .filter(
                                bind ->
                                        isReadyToBind(bind.proxy())
                                                && bind.deadline() != Double.POSITIVE_INFINITY)
                        .toList();
        assignStarterTables(urgent);
        nextDeadline =
                urgent.stream()
                        .filter(bind -> hasTableToBind(bind.proxy()))
                        .mapToDouble(PendingBind::deadline)
                        .findFirst()
                        .orElse(Double.POSITIVE_INFINITY);
    }

    private List<PendingBind> pendingBinds() {
        Set<RoutingTable> emptiedTables = new HashSet<>(tables.all());
        emptiedTables.removeIf(
                table -> table.users().isEmpty() || weights.activeEntryCount(table) > 0);
        List<PendingBind> binds = new ArrayList<>();
        for (Proxy proxy : proxies.all()) {
            if (needsAnyBind(proxy)) {
                boolean hasEmptiedTable =
                        proxy.boundTables().stream().anyMatch(emptiedTables::contains);
                double deadline = hasEmptiedTable ? time.now() : drains.bindDeadline(proxy.id);
                binds.add(new PendingBind(proxy, deadline));
            }
        }
        return binds;
    }

    /** Assigns starter tables to the proxies whose regular tables would be late. */
    private void assignStarterTables(List<PendingBind> urgent) {
        double[] deadlines = urgent.stream().mapToDouble(PendingBind::deadline).toArray();
        double maxCost =
                new BindBudget(channel.measuredRate(), channel.maxTransitTime())
                                .entriesPerBind(
                                        time.now(),
                                        deadlines,
                                        joins.expectedJoins(),
                                        time.now() + drainGrace,
                                        channel.queue().entries())
                        - channel.totalMessageOverhead();
        int smallestTables = tables.full().size() * (1 + StarterTables.MIN_ENTRIES);
        canMeetDeadlines = maxCost >= requestClassCount + smallestTables;
        Map<RoutingTable, Integer> costs = new HashMap<>();
        for (PendingBind bind : urgent) {
            Proxy proxy = bind.proxy();
            double cost =
                    SequentialSum.of(
                            tables.full(), fullTable -> knownBindCost(proxy, fullTable, costs));
            if (cost > maxCost) {
                assignStarterTables(proxy, maxCost);
            }
        }
    }

    /** Returns the cost of binding a proxy to its table, calculated once for each table. */
    private int knownBindCost(
            Proxy proxy, RoutingTable fullTable, Map<RoutingTable, Integer> costs) {
        if (!proxy.uses(fullTable)) {
            return 0;
        }
        RoutingTable assigned = proxy.assignedTable(fullTable);
        return costs.computeIfAbsent(assigned, table -> bindCost(proxy, table));
    }

    /**
     * Assigns a proxy starter tables that cost at most the given number of entries, or the smallest
     * starter tables if none are that small.
     */
    private void assignStarterTables(Proxy proxy, double maxCost) {
        int size = starterTableSize(maxCost);
        boolean isSmallEnough =
                starterTables.tableSize() <= Math.max(size, StarterTables.MIN_ENTRIES);
        if (!proxy.starterTables().isEmpty() && isSmallEnough) {
            return;
        }
        if (!starterTables.fitsBudget(size)) {
            starterTables.allocate(size, weights::effectiveWeight);
        }
        starterTables.assign(proxy);
    }

    /** Returns the size of a starter table if a bind may cost the given number of entries. */
    private int starterTableSize(double maxCost) {
        List<Endpoint> available = endpoints.available();
        double restoredShare =
                SequentialSum.of(available, endpoint -> mayNeedRestoration(endpoint) ? 1 : 0)
                        / Math.max(1, available.size());
        double maxCostPerTable = (maxCost - requestClassCount) / tables.full().size() - 1;
        double entries = Math.min(available.size(), maxCostPerTable / (1 + restoredShare));
        return (int) Math.max(StarterTables.MIN_ENTRIES, entries);
    }

    /** Returns whether the proxy has a table to bind to, or a starter table about to be sent. */
    private boolean hasTableToBind(Proxy proxy) {
        return tables.full().stream()
                .anyMatch(
                        fullTable ->
                                proxy.needsBind(fullTable)
                                        && (proxy.starterTables().containsKey(fullTable)
                                                || isReadyToSend(proxy.assignedTable(fullTable))));
    }

    /**
     * Moves proxies from starter tables to their regular tables, as far as the channel allows. The
     * method does nothing while binds have deadlines, while proxies are expected to join, or while
     * the queue is long. It is called once in each periodic update.
     */
    void releaseStarterTables() {
        double ordinaryLimit = ChannelPriority.ORDINARY.share() * channel.discretionaryQueueLimit();
        if (hasDeadline()
                || joins.expectedJoins() > 0
                || channel.queue().entries() > ordinaryLimit) {
            return;
        }
        double remainingEntries =
                RELEASE_CHANNEL_SHARE * EventTime.UPDATE_INTERVAL_MS * channel.measuredRate();
        for (Proxy proxy : starterTables.users()) {
            remainingEntries -=
                    channel.totalMessageOverhead()
                            + SequentialSum.of(
                                    tables.full(),
                                    fullTable ->
                                            proxy.uses(fullTable)
                                                    ? bindCost(proxy, proxy.regularTable(fullTable))
                                                    : 0);
            if (remainingEntries < 0) {
                return;
            }
            starterTables.release(proxy);
            invalidatePlan();
        }
    }

    /** Returns the number of binds since the last call. */
    int takeBindsSent() {
        int result = bindsSent;
        bindsSent = 0;
        return result;
    }
}
