package sprucelanding.control.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucelanding.control.decision.ChannelBudget.Purpose;

/**
 * Decides which changed weight is sent next, within the budget of the channel. Removals come first,
 * then weight changes caused by ejections, then the changes that move the most traffic.
 */
final class WeightUpdateScheduler {
    /** Smallest change of a weight that is sent, as a share of the larger weight. */
    private static final double MIN_RELATIVE_WEIGHT_CHANGE = 0.1;

    /** Rank of a removal, which the rules require. */
    private static final double RANK_REMOVAL = 4;

    /** Rank of an entry that refills a table which has lost most of its weight. */
    private static final double RANK_REFILL = 3;

    /** Rank of a weight reduction that health checks or ejections require. */
    private static final double RANK_EJECTION = 2;

    /** Rank of an entry that adds an endpoint to the table. */
    private static final double RANK_ADDITION = 1;

    /** Change of a weight, as a multiple of the mean weight, that counts for a whole rank. */
    private static final double MEAN_WEIGHTS_PER_RANK = 8;

    private final EventTime time;
    private final RoutingTables tables;
    private final ProxyRegistry proxies;
    private final ChannelBudget channel;
    private final DrainTracker drains;
    private final WeightPolicy weights;
    private final SlowStart slowStart;
    private final AdmissionController admission;
    private final BindScheduler binds;
    private double drainGrace = Double.POSITIVE_INFINITY;

    /** Entries whose weights must be sent, most urgent first; null if a new ranking is needed. */
    private List<TableEntry> pending;

    /** Time at which an entry of any table with users was last sent, ms. */
    private double lastEntryTime = EventTime.NEVER;

    WeightUpdateScheduler(ControllerState state, BindScheduler binds) {
        time = state.time();
        tables = state.tables();
        proxies = state.proxies();
        channel = state.channel();
        drains = state.drains();
        weights = state.weights();
        slowStart = state.slowStart();
        admission = state.admission();
        this.binds = binds;
    }

    /** Sets the time within which proxies must stop sending to a removed endpoint, ms. */
    void configure(double grace) {
        drainGrace = grace;
    }

    /** Discards the ranking because tables or weights have changed. */
    void invalidate() {
        pending = null;
    }

    /**
     * Orders the next weight change.
     *
     * @param isOrdinaryAllowed whether ordinary changes may start new messages now
     * @return whether an order was given; false if no weight change fits the channel
     */
    boolean sendNext(ControllerOutput output, boolean isOrdinaryAllowed) {
        if (pending == null) {
            rankAll();
        }
        Set<RoutingTable> blocked = new HashSet<>();
        for (TableEntry entry : pending) {
            RoutingTable table = entry.table();
            if (blocked.contains(table) || yieldsToBinds(entry)) {
                continue;
            }
            if (book(entry, isOrdinaryAllowed)) {
                send(entry, output);
                return true;
            }
            blocked.add(table);
        }
        return false;
    }

    private void rankAll() {
        pending = new ArrayList<>();
        tables.all().forEach(this::rank);
        pending.sort(Comparator.comparingDouble(entry -> -entry.rank()));
    }

    private void rank(RoutingTable table) {
        double mean = weights.meanWeight(table);
        table.setTargetWeight(SequentialSum.of(table.entries(), weights::effectiveWeight));
        for (TableEntry entry : table.entries()) {
            double weight = weights.effectiveWeight(entry);
            double moved = Math.abs(weight - entry.sentWeight());
            double baseRank = baseRank(entry, weight);
            entry.setRank(Math.min(1, moved / mean / MEAN_WEIGHTS_PER_RANK) + baseRank);
            boolean isSignificant =
                    baseRank > 0
                            || moved
                                    >= MIN_RELATIVE_WEIGHT_CHANGE
                                            * Math.max(weight, entry.sentWeight());
            if (moved > 0 && !table.isCleared() && isSignificant) {
                pending.add(entry);
            }
        }
    }

    private double baseRank(TableEntry entry, double weight) {
        Endpoint endpoint = entry.endpoint();
        boolean hasLostMostOfItsWeight = hasLostMostOfItsWeight(entry.table());
        if (hasLostMostOfItsWeight && weight > entry.sentWeight()) {
            return RANK_REFILL; // a single entry would receive all the traffic
        }
        boolean isReducedWhileWarmingUp =
                slowStart.isWarmingUp(endpoint) && weight < entry.sentWeight() / 2;
        if (entry.sentWeight() > 0 && (weight == 0 || isReducedWhileWarmingUp)) {
            if (endpoint.isAvailable()) {
                return RANK_EJECTION;
            }
            return endpoint.isEjectedFromAllTables() ? 0 : RANK_REMOVAL;
        }
        return entry.sentWeight() == 0 ? RANK_ADDITION : 0;
    }

    private static boolean hasLostMostOfItsWeight(RoutingTable table) {
        return 2 * table.sentWeight() < table.targetWeight();
    }

    /** Returns whether the entry is a removal that no ejection has settled since the ranking. */
    private boolean isRequiredRemoval(TableEntry entry) {
        return entry.rank() >= RANK_REMOVAL && !isSettledByEjection(entry);
    }

    private boolean isSettledByEjection(TableEntry entry) {
        Endpoint endpoint = entry.endpoint();
        return channel.hasPacedRemovals()
                && !endpoint.isAvailable()
                && endpoint.isEjectedFromAllTables();
    }

    private ChannelPriority priority(TableEntry entry) {
        if (isSettledByEjection(entry)) {
            return ChannelPriority.ORDINARY;
        }
        if (entry.rank() < RANK_EJECTION) {
            return ChannelPriority.ORDINARY;
        }
        if (entry.rank() < RANK_REFILL) {
            return ChannelPriority.URGENT;
        }
        return entry.rank() < RANK_REMOVAL ? ChannelPriority.CRITICAL : ChannelPriority.MANDATORY;
    }

    /** Books a weight change if the pause since the last one is long enough and the change fits. */
    private boolean book(TableEntry entry, boolean isOrdinaryAllowed) {
        RoutingTable table = entry.table();
        if (channel.hasPacedRemovals() && isRequiredRemoval(entry)) {
            return bookRemoval(table);
        }
        ChannelPriority priority = priority(entry);
        boolean isMandatory = priority == ChannelPriority.MANDATORY;
        double pause =
                isMandatory ? removalPause(table) : minPause(table, priority, isOrdinaryAllowed);
        double last = table.isFull() ? lastEntryTime : table.lastEntryTime();
        return time.now() - last >= pause
                && channel.book(
                        table.users(), 1, priority, isMandatory ? Purpose.REMOVAL : Purpose.WEIGHT);
    }

    private boolean bookRemoval(RoutingTable table) {
        double oldest = Double.POSITIVE_INFINITY;
        int waiting = 0;
        for (TableEntry entry : pending) {
            if (entry.table() == table && isRequiredRemoval(entry)) {
                oldest = Math.min(oldest, entry.endpoint().removedAt());
                waiting++;
            }
        }
        return channel.bookRemoval(table.users(), oldest, waiting, Purpose.REMOVAL);
    }

    /**
     * Returns the shortest pause after the last weight change, ms. Without a pause, the overhead of
     * the messages alone would fill the channel. If messages to a proxy are limited, ordinary
     * messages are spread evenly.
     */
    private double minPause(
            RoutingTable table, ChannelPriority priority, boolean isOrdinaryAllowed) {
        boolean isAboveOrdinary = priority.isAbove(ChannelPriority.ORDINARY);
        boolean isAllowedNow = isAboveOrdinary || isOrdinaryAllowed || channel.hasMessageLimit();
        boolean canShareMessages = isAllowedNow && allHaveMessagesOrWait(table.users());
        if (canShareMessages || table.users().isEmpty() || table.isEmpty()) {
            return 0;
        }
        Collection<Proxy> receivers = table.isFull() ? table.users() : proxies.all();
        double overheadTime = receivers.size() * channel.messageOverhead() / channel.trustedRate();
        if (isAboveOrdinary) {
            return overheadTime;
        }
        return isAllowedNow
                ? Math.max(2 * overheadTime, channel.messageInterval())
                : Double.POSITIVE_INFINITY;
    }

    private boolean allHaveMessagesOrWait(Collection<Proxy> users) {
        return users.stream()
                .allMatch(p -> p.hasMessageAt(time.now()) || channel.held().contains(p));
    }

    /**
     * Returns the time that a removal waits for further removals to share its message if no grace
     * is known, ms. It waits only if the messages to a proxy are nearly used up.
     */
    private double removalPause(RoutingTable table) {
        boolean isMessageLimitNear =
                channel.hasMessageLimit()
                        && table.users().stream()
                                .anyMatch(
                                        proxy ->
                                                !proxy.hasMessageAt(time.now())
                                                        && channel.isMessageLimitNear(proxy));
        return isMessageLimitNear ? channel.messageInterval() : 0;
    }

    /** Returns whether an entry must let binds with an earlier deadline go first. */
    private boolean yieldsToBinds(TableEntry entry) {
        return binds.hasDeadline()
                && !entry.table().users().isEmpty()
                && !entry.table().isEmpty()
                && (entry.rank() < RANK_REMOVAL
                        || entry.endpoint().removedAt() + drainGrace > binds.nextDeadline());
    }

    private void send(TableEntry entry, ControllerOutput output) {
        RoutingTable table = entry.table();
        Endpoint endpoint = entry.endpoint();
        pending.remove(entry);
        double weight = weights.effectiveWeight(entry);
        boolean hasLoadEffect =
                weight == 0 && !endpoint.ejection().isPartOfZoneOutage() || entry.sentWeight() == 0;
        if (hasLoadEffect && table.sentWeight() > 0 && !table.users().isEmpty()) {
            double allWeights = SequentialSum.of(tables.all(), RoutingTable::sentWeight);
            admission.expectLoadChange((entry.sentWeight() - weight) / allWeights);
        }
        entry.markSent(weight);
        recordRemoval(entry);
        lastEntryTime = table.users().isEmpty() ? lastEntryTime : time.now();
        table.setLastEntryTime(lastEntryTime);
        if (weight == 0 && hasLostMostOfItsWeight(table)) {
            invalidate();
        }
        output.setWeight(table.number(), endpoint, weight);
        if (endpoint.state() == EndpointState.GONE) {
            table.removeEntryOf(endpoint);
        }
    }

    /**
     * Records the removal of an endpoint that is no longer available. The removal is ordered for
     * each proxy of the table that has the endpoint in no other table.
     */
    private void recordRemoval(TableEntry entry) {
        Endpoint endpoint = entry.endpoint();
        if (entry.sentWeight() != 0 || endpoint.isAvailable()) {
            return;
        }
        for (Proxy proxy : entry.table().users()) {
            if (!proxy.sendsTrafficTo(endpoint)) {
                drains.removalOrdered(proxy.id, endpoint.id, channel.queue().nextMessageNumber());
            }
        }
    }
}
