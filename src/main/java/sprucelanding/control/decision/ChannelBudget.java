package sprucelanding.control.decision;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Models the channel from the governor to its proxies: the entries queued in the channel, the rate
 * at which the channel drains, and the number of messages sent to each proxy. Every update must be
 * booked here before it is ordered, and is rejected if it does not fit.
 *
 * <p>All updates at one time form a batch, with one message to each proxy concerned. A message
 * costs its overhead, its entries, and one entry for its acknowledgement request. Messages are
 * delivered in order. An acknowledgement therefore shows that everything booked before its message
 * has left the channel.
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

    /** Acknowledgement numbers are message numbers modulo this value. */
    static final int ACKNOWLEDGEMENT_NUMBER_COUNT = 60_000;

    /** Share of the queue limit that is available to updates that are not mandatory. */
    private static final double DISCRETIONARY_QUEUE_SHARE = 0.85;

    /** Time within which the queue must drain at the measured rate, mandatory updates aside. */
    private static final double MAX_QUEUE_TIME_MS = 3000;

    /** Messages remain in the count for the span plus this share of an update interval. */
    private static final double MESSAGE_SPAN_MARGIN_INTERVALS = 0.25;

    private final EventTime time;
    private final ChannelRate rate = new ChannelRate();
    private final MessagePacing pacing;
    private final RemovalTiming removals;
    private final EnumMap<Purpose, Double> bookedByPurpose = new EnumMap<>(Purpose.class);

    /** By acknowledgement number, the batches that no later acknowledgement has made obsolete. */
    private final Map<Integer, SentBatch> unacknowledgedBatches = new LinkedHashMap<>();

    private double messageOverhead;
    private double queueLimit;
    private int messageLimit;
    private double messageSpan;
    private long lastMessageNumber;
    private double bookedEntries;
    private double deliveredEntries;
    private double lastAcknowledgementTime = EventTime.NEVER;

    /** Time of the last booked batch, ms; {@link EventTime#NEVER} once the batch is closed. */
    private double lastBatchTime = EventTime.NEVER;

    /** Entries that had been booked when the open batch was started. */
    private double bookedBeforeBatch;

    /** Entries of the open batch by proxy number. */
    private Map<Integer, Double> batchEntriesByProxy = new HashMap<>();

    /** Creates a budget without limits set; see {@link #configure}. */
    ChannelBudget(EventTime time) {
        this.time = time;
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

    /** Returns the number that the messages of the open batch will have. */
    long nextMessageNumber() {
        return lastMessageNumber + 1;
    }

    /** Returns the number of the newest message with the given acknowledgement number. */
    long messageAcknowledgedBy(int acknowledgement) {
        return lastMessageNumber
                - Math.floorMod(lastMessageNumber - acknowledgement, ACKNOWLEDGEMENT_NUMBER_COUNT);
    }

    /**
     * Records that some unknown proxy has applied its message of a batch. Everything booked before
     * the batch has left the channel. Each acknowledgement accounts for an equal share of the batch
     * itself.
     */
    void acknowledged(int acknowledgement) {
        applyAcknowledgement(
                unacknowledgedBatches.get(acknowledgement), SentBatch::acknowledgeShare);
    }

    /**
     * Records that the given proxy has applied its message of a batch. Everything booked before the
     * batch has left the channel. Of the batch itself, the message of this proxy counts.
     */
    void acknowledged(int proxy, int acknowledgement) {
        applyAcknowledgement(
                unacknowledgedBatches.get(acknowledgement), batch -> batch.acknowledge(proxy));
    }

    private void applyAcknowledgement(SentBatch batch, Consumer<SentBatch> apply) {
        lastAcknowledgementTime = time.now();
        if (batch != null) {
            apply.accept(batch);
            deliveredEntries = Math.max(deliveredEntries, batch.deliveredEntries());
            unacknowledgedBatches
                    .values()
                    .removeIf(other -> other.bookedBefore() < batch.bookedBefore());
        }
    }

    /**
     * Returns the number of entries that may still be queued. All entries without an
     * acknowledgement count, because a channel may be far slower than configured. If no
     * acknowledgement arrives for the longest transit time plus one update interval, the channel is
     * assumed to drain at a share of the configured rate from then on.
     */
    double queuedEntries() {
        double overdueTime =
                time.now()
                        - lastAcknowledgementTime
                        - removals.maxTransitTime()
                        - EventTime.UPDATE_INTERVAL_MS;
        double silence = Math.max(0, overdueTime);
        return Math.max(
                0,
                bookedEntries
                        - deliveredEntries
                        - silence * rate.configured() * TRUSTED_RATE_SHARE);
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
        rate.measure(queuedEntries(), bookedEntries);
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
        if (queuedEntries() == 0) {
            // while nothing is queued, no acknowledgement is missing
            deliveredEntries = bookedEntries;
            lastAcknowledgementTime = time.now();
        }
        double limit =
                priority == ChannelPriority.MANDATORY
                        ? queueLimit
                        : priority.share() * discretionaryQueueLimit();
        double spanStart = time.now() - countedSpan();
        proxies.forEach(proxy -> proxy.forgetMessagesBefore(spanStart));
        return queuedEntries() + cost(proxies, entries) <= limit;
    }

    /** Returns the period for which a message is counted, ms. */
    private double countedSpan() {
        return messageSpan + EventTime.UPDATE_INTERVAL_MS * MESSAGE_SPAN_MARGIN_INTERVALS;
    }

    /**
     * Books updates with the given number of entries to each of the proxies. Updates to no proxy
     * cost nothing.
     *
     * @return whether the updates fit; nothing is booked if they do not
     */
    boolean book(
            Collection<Proxy> proxies, int entries, ChannelPriority priority, Purpose purpose) {
        if (proxies.isEmpty()) {
            return true;
        }
        if (!hasRoom(proxies, entries, priority)) {
            return false;
        }
        bookMessages(proxies, entries, purpose);
        return true;
    }

    /**
     * Books the removal of one entry at each of the proxies. The removal waits for others that can
     * share its message if the messages to the proxies are limited, see {@link MessagePacing}.
     *
     * @param removedAt time since when the oldest removal that waits is required
     * @param waiting number of removals that wait and can share the message
     * @return whether the removal fits now; nothing is booked if it does not
     */
    boolean bookRemoval(Collection<Proxy> proxies, double removedAt, int waiting, Purpose purpose) {
        boolean fits =
                hasQueueRoom(proxies, 1, ChannelPriority.MANDATORY)
                        && allowsRemoval(proxies, removedAt, waiting);
        if (fits && !proxies.isEmpty()) {
            bookMessages(proxies, 1, purpose);
            removals.removalBooked(proxies, removedAt);
        }
        return fits;
    }

    /**
     * Returns whether the proxies may be sent messages with removals now, as far as the limit of
     * messages is concerned.
     *
     * @param removedAt time since when the oldest removal that waits is required; infinite if the
     *     updates that wait have no deadline
     * @param waiting number of updates that wait and can share the message
     */
    boolean allowsRemoval(Collection<Proxy> proxies, double removedAt, int waiting) {
        return removals.allows(proxies, removedAt, cost(proxies, waiting), rate.measured());
    }

    private void bookMessages(Collection<Proxy> proxies, int entries, Purpose purpose) {
        double now = time.now();
        if (lastBatchTime != now) {
            bookedBeforeBatch = bookedEntries;
            batchEntriesByProxy.clear();
        }
        lastBatchTime = now;
        double cost = cost(proxies, entries);
        removals.booked(cost, rate.measured());
        proxies.forEach(
                proxy -> batchEntriesByProxy.merge(proxy.id, cost(proxy, entries), Double::sum));
        bookedEntries += cost;
        bookedByPurpose.merge(purpose, cost, Double::sum);
        proxies.stream()
                .filter(proxy -> !proxy.hasMessageAt(now))
                .forEach(proxy -> proxy.messageSent(now));
    }

    private double cost(Collection<Proxy> proxies, int entries) {
        double cost = 0;
        for (Proxy proxy : proxies) {
            cost += cost(proxy, entries);
        }
        return cost;
    }

    private double cost(Proxy proxy, int entries) {
        return entries + (proxy.hasMessageAt(time.now()) ? 0 : totalMessageOverhead());
    }

    /** Returns whether updates are booked at this time without an acknowledgement request. */
    boolean hasOpenBatch() {
        return lastBatchTime == time.now();
    }

    /**
     * Closes the open batch.
     *
     * @param messages number of proxies that are sent a message
     * @return the acknowledgement number to request from these proxies
     */
    int closeBatch(double messages) {
        lastBatchTime = EventTime.NEVER;
        lastMessageNumber++;
        int acknowledgement = (int) (lastMessageNumber % ACKNOWLEDGEMENT_NUMBER_COUNT);
        SentBatch batch = new SentBatch(bookedBeforeBatch, batchEntriesByProxy, messages);
        unacknowledgedBatches.put(acknowledgement, batch);
        batchEntriesByProxy = new HashMap<>();
        return acknowledgement;
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
