package sprucelanding.control.decision;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Models the channel from the governor to its proxies: the entries queued in the channel, the rate
 * at which the channel drains, and the number of messages sent to each proxy. Every update must be
 * booked here before it is ordered, and is rejected if it does not fit.
 *
 * <p>All updates at one time form a batch, with one message to each proxy concerned. A message
 * costs its overhead, its entries, and one entry for its acknowledgement request. If the host can
 * hold updates, an update is booked for the proxies that may be sent a message now, and is held for
 * the others. Otherwise it waits until all of them may be sent a message.
 *
 * <p>Times are in ms. Costs are counted in table entries, rates in entries per ms.
 */
final class ChannelBudget {
    /** The purpose of an update. Logs and captures contain the text of the constant. */
    enum Purpose {
        EJECTION("WITHDRAWAL"),
        REMOVAL("REMOVAL"),
        WEIGHT("LINE"),
        BIND("BIND"),
        ADMISSION("LEVEL"),
        CLEAR("CLEAR");

        private final String text;

        Purpose(String text) {
            this.text = text;
        }

        @Override
        public String toString() {
            return text;
        }
    }

    /** Share of the configured rate that is assumed while no acknowledgements arrive. */
    static final double TRUSTED_RATE_SHARE = 0.5;

    /** Share of the queue limit that is available to updates that are not mandatory. */
    private static final double DISCRETIONARY_QUEUE_SHARE = 0.85;

    /** Time within which the queue must drain at the measured rate, mandatory updates aside. */
    private static final double MAX_QUEUE_TIME_MS = 3000;

    /** Messages remain in the count for the span plus this share of an update interval. */
    private static final double MESSAGE_SPAN_MARGIN_INTERVALS = 0.25;

    private final EventTime time;
    private final ChannelRate rate = new ChannelRate();
    private final ChannelQueue queue;
    private final MessagePacing pacing;
    private final RemovalTiming removals;
    private final HeldUpdates held = new HeldUpdates();
    private final EnumMap<Purpose, Double> bookedByPurpose = new EnumMap<>(Purpose.class);

    private double messageOverhead;
    private double queueLimit;
    private int messageLimit;
    private double messageSpan;

    /** Creates a budget without limits set; see {@link #configure}. */
    ChannelBudget(EventTime time) {
        this.time = time;
        queue = new ChannelQueue(time, rate);
        pacing = new MessagePacing(time);
        removals = new RemovalTiming(time, pacing);
    }

    /** Returns the times at which proxies may be sent messages. */
    MessagePacing pacing() {
        return pacing;
    }

    /**
     * Sets the limits that the site configures.
     *
     * @param rate rate at which the channel drains under normal conditions, entries per ms
     * @param overhead cost of a message in addition to its updates, entries
     * @param maxQueuedEntries largest number of queued entries
     * @param maxMessages largest number of messages to one proxy within the span; 0 for no limit
     * @param span period in which messages are counted, ms
     */
    void configure(
            double rate, double overhead, double maxQueuedEntries, int maxMessages, double span) {
        this.rate.configure(rate);
        messageOverhead = overhead;
        queueLimit = maxQueuedEntries;
        messageLimit = maxMessages;
        messageSpan = span;
        pacing.configure(maxMessages, countedSpan());
    }

    RemovalTiming removals() {
        return removals;
    }

    ChannelQueue queue() {
        return queue;
    }

    HeldUpdates held() {
        return held;
    }

    /** Returns the configured rate, entries per ms. */
    double configuredRate() {
        return rate.configured();
    }

    /** Returns the rate that is assumed where none has been measured, entries per ms. */
    double trustedRate() {
        return rate.configured() * TRUSTED_RATE_SHARE;
    }

    /** Returns the measured rate at which the channel drains, entries per ms. */
    double measuredRate() {
        return rate.measured();
    }

    /** Returns the cost of a message beyond its updates, acknowledgement request included. */
    double totalMessageOverhead() {
        return messageOverhead + 1;
    }

    /** Returns the fixed cost of a message, without its acknowledgement request. */
    double messageOverhead() {
        return messageOverhead;
    }

    /** Returns the largest number of queued entries. */
    double queueLimit() {
        return queueLimit;
    }

    /** Returns the longest time that a message takes to reach a proxy and be applied, ms. */
    double maxTransitTime() {
        return removals.maxTransitTime();
    }

    boolean hasMessageLimit() {
        return messageLimit > 0;
    }

    /** Returns whether removals wait for others to share messages, see {@link MessagePacing}. */
    boolean hasPacedRemovals() {
        return hasMessageLimit() && removals.hasGrace();
    }

    /**
     * Returns the interval between two messages to a proxy if ordinary messages are spread evenly
     * over the span, ms; 0 if there is no limit.
     */
    double messageInterval() {
        return messageLimit == 0
                ? 0
                : messageSpan / (ChannelPriority.ORDINARY.share() * messageLimit);
    }

    /** Returns whether a proxy has been sent more messages than the ordinary share of the limit. */
    boolean isMessageLimitNear(Proxy proxy) {
        return proxy.recentMessages() > ChannelPriority.ORDINARY.share() * messageLimit;
    }

    /** Returns the largest number of queued entries for updates that are not mandatory. */
    double discretionaryQueueLimit() {
        return Math.min(
                DISCRETIONARY_QUEUE_SHARE * queueLimit, MAX_QUEUE_TIME_MS * rate.measured());
    }

    /**
     * Measures the rate at which the channel drains, once in each periodic update.
     *
     * @param proxies number of joined proxies
     */
    void measureRate(int proxies) {
        queue.measureRate();
        removals.updateRemovalWait(proxies * (totalMessageOverhead() + 1), rate.measured());
    }

    /** Returns whether updates with the given number of entries to each of the proxies fit. */
    boolean hasRoom(Collection<Proxy> proxies, int entries, ChannelPriority priority) {
        boolean fits =
                hasQueueRoom(proxies, entries, priority)
                        && (priority == ChannelPriority.MANDATORY
                                || removals.keepsRemovalsInTime(
                                        cost(proxies, entries), rate.measured()));
        for (Proxy proxy : proxies) {
            fits &= pacing.allows(proxy, priority);
        }
        return fits;
    }

    boolean hasQueueRoom(Collection<Proxy> proxies, int entries, ChannelPriority priority) {
        queue.settleIfEmpty();
        double limit =
                priority == ChannelPriority.MANDATORY
                        ? queueLimit
                        : priority.share() * discretionaryQueueLimit();
        double spanStart = time.now() - countedSpan();
        proxies.forEach(proxy -> proxy.forgetMessagesBefore(spanStart));
        return queue.entries() + cost(proxies, entries) <= limit;
    }

    /** Returns the period for which a message is counted, ms. */
    private double countedSpan() {
        return messageSpan + EventTime.UPDATE_INTERVAL_MS * MESSAGE_SPAN_MARGIN_INTERVALS;
    }

    /**
     * Books updates with the given number of entries to each of the proxies. Updates to no proxy
     * cost nothing.
     *
     * @return whether the updates fit; nothing is booked or held if they do not
     */
    boolean book(
            Collection<Proxy> proxies, int entries, ChannelPriority priority, Purpose purpose) {
        if (proxies.isEmpty()) {
            return true;
        }
        Collection<Proxy> receivers = proxies;
        if (held.isEnabled() && hasMessageLimit()) {
            receivers = proxies.stream().filter(proxy -> pacing.allows(proxy, priority)).toList();
        }
        if (receivers.isEmpty() || !hasRoom(receivers, entries, priority)) {
            return false;
        }
        bookMessages(receivers, entries, purpose);
        holdForOthers(proxies, entries, priority, purpose, Double.POSITIVE_INFINITY);
        return true;
    }

    /**
     * Books the removal of one entry at each of the proxies. The removal waits for others that can
     * share its message if the messages to the proxies are limited, see {@link MessagePacing}.
     *
     * @param removedAt time since when the oldest removal that waits is required
     * @param waiting number of removals that wait and can share the message
     * @return whether the removal fits now; nothing is booked or held if it does not
     */
    boolean bookRemoval(Collection<Proxy> proxies, double removedAt, int waiting, Purpose purpose) {
        if (proxies.isEmpty()) {
            return true;
        }
        Collection<Proxy> receivers = allowedRemovals(proxies, removedAt, waiting);
        if (receivers.isEmpty() || !hasQueueRoom(receivers, 1, ChannelPriority.MANDATORY)) {
            return false;
        }
        bookMessages(receivers, 1, purpose);
        removals.removalBooked(receivers, removedAt);
        holdForOthers(proxies, 1, ChannelPriority.MANDATORY, purpose, removedAt);
        return true;
    }

    /** Returns the proxies to which a removal may be sent now; all or none without holding. */
    private Collection<Proxy> allowedRemovals(
            Collection<Proxy> proxies, double removedAt, int waiting) {
        double cost = cost(proxies, waiting);
        if (held.isEnabled()) {
            return proxies.stream()
                    .filter(p -> removals.allows(List.of(p), removedAt, cost, rate.measured()))
                    .toList();
        }
        return removals.allows(proxies, removedAt, cost, rate.measured()) ? proxies : List.of();
    }

    /**
     * Returns whether any of the proxies may be sent a message with removals now, as far as the
     * limit of messages is concerned; whether all of them may, if the host cannot hold updates.
     *
     * @param removedAt time since when the oldest removal that waits is required; infinite if the
     *     updates that wait have no deadline
     * @param waiting number of updates that wait and can share the message
     */
    boolean allowsRemoval(Collection<Proxy> proxies, double removedAt, int waiting) {
        return proxies.isEmpty() || !allowedRemovals(proxies, removedAt, waiting).isEmpty();
    }

    private void holdForOthers(
            Collection<Proxy> proxies,
            int entries,
            ChannelPriority priority,
            Purpose purpose,
            double removedAt) {
        for (Proxy proxy : proxies) {
            if (!proxy.hasMessageAt(time.now())) {
                held.add(proxy, entries, priority, purpose, removedAt);
            }
        }
    }

    /** Books the held updates of the proxies that may be sent a message now. */
    void bookHeldUpdates() {
        Collection<Proxy> waiting = held.proxies();
        double cost = cost(waiting, 0);
        for (Proxy proxy : waiting) {
            double removedAt = held.removedAt(proxy);
            ChannelPriority priority = held.priority(proxy);
            boolean isAllowed =
                    priority == ChannelPriority.MANDATORY
                            ? removals.allows(List.of(proxy), removedAt, cost, rate.measured())
                            : pacing.allows(proxy, priority);
            if (isAllowed && hasQueueRoom(List.of(proxy), 0, priority)) {
                bookMessages(List.of(proxy), 0, held.purpose(proxy));
                removals.removalBooked(List.of(proxy), removedAt);
            }
        }
    }

    /** Returns whether a proxy may be sent a message now, as far as the limit is concerned. */
    boolean allowsMessage(Proxy proxy, ChannelPriority priority) {
        return pacing.allows(proxy, priority);
    }

    private void bookMessages(Collection<Proxy> proxies, int entries, Purpose purpose) {
        double now = time.now();
        double cost = cost(proxies, entries);
        Map<Integer, Double> costs = new LinkedHashMap<>();
        proxies.forEach(proxy -> costs.put(proxy.id, cost(proxy, entries)));
        removals.booked(cost, rate.measured());
        queue.book(costs, cost);
        bookedByPurpose.merge(purpose, cost, Double::sum);
        for (Proxy proxy : proxies) {
            if (!proxy.hasMessageAt(now)) {
                proxy.messageSent(now);
                held.remove(proxy);
            }
        }
    }

    private double cost(Collection<Proxy> proxies, int entries) {
        double cost = 0;
        for (Proxy proxy : proxies) {
            cost += cost(proxy, entries);
        }
        return cost;
    }

    private double cost(Proxy proxy, int entries) {
        return proxy.hasMessageAt(time.now())
                ? entries
                : entries + held.entries(proxy) + totalMessageOverhead();
    }

    /** Returns the entries booked since the last call, by purpose, as a text for the log. */
    String takeBookedEntriesByPurpose() {
        String text =
                bookedByPurpose.entrySet().stream()
                        .map(entry -> entry.getKey() + ":" + Math.round(entry.getValue()))
                        .collect(Collectors.joining(","));
        bookedByPurpose.clear();
        return text;
    }
}
