package sprucelanding.control.delivery;

import java.util.function.IntSupplier;

/**
 * Model of the channel that carries this governor's updates, as a queue that drains at the
 * configured rate.
 *
 * <p>Ordinary updates wait when most of the queue is full. Sizes are in entries, times in ms. The
 * controller plans its orders within the same limit. The model is needed in addition because a
 * front may need more messages for a batch than the controller assumes, and each message has an
 * overhead.
 */
final class ChannelModel {
    /** Fraction of the queue that ordinary updates may fill; the rest is reserved for removals. */
    private static final double ORDINARY_QUEUE_SHARE = 0.95;

    /** Fraction of the queue that urgent updates may fill. */
    private static final double URGENT_QUEUE_SHARE = 0.99;

    private double entriesPerMilli;
    private double messageOverhead;
    private double maxQueuedEntries = Double.POSITIVE_INFINITY;
    private double queuedEntries;

    /** Sets the limits; see {@link Delivery#setChannelLimits}. */
    void configure(double entriesPerMilli, double messageOverhead, double maxQueuedEntries) {
        this.entriesPerMilli = entriesPerMilli;
        this.messageOverhead = messageOverhead;
        this.maxQueuedEntries = maxQueuedEntries;
    }

    /** Drains the queue for a period, in ms. */
    void timeElapsed(double millis) {
        queuedEntries = Math.max(0, queuedEntries - millis * entriesPerMilli);
    }

    /**
     * Returns whether an update of this size may be sent now. An empty queue accepts an update of
     * any size, and the size is then not computed.
     */
    boolean permits(IntSupplier entryCount, Urgency urgency) {
        double share = urgency == Urgency.URGENT ? URGENT_QUEUE_SHARE : ORDINARY_QUEUE_SHARE;
        return queuedEntries <= 0
                || queuedEntries + messageOverhead + entryCount.getAsInt()
                        <= share * maxQueuedEntries;
    }

    /** Adds a sent message with its overhead to the queue. */
    void messageSent(int entryCount) {
        queuedEntries += messageOverhead + entryCount;
    }
}
