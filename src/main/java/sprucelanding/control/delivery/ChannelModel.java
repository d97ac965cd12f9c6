package sprucelanding.control.delivery;

import java.util.function.IntSupplier;

/**
 * Model of the channel that carries this governor's responses: a queue that drains at the stated
 * pace. Ordinary responses wait once most of it is taken. Sizes are in entries. The controller
 * orders within the same limit, but a front may need more messages for a batch than it counts, and
 * each has its overhead.
 */
final class ChannelModel {
    /** Of what may wait in the channel; the rest is for removals. */
    private static final double ORDINARY_QUEUE_SHARE = 0.95;

    private static final double URGENT_QUEUE_SHARE = 0.99;

    private double entriesPerMilli;
    private double messageOverhead;
    private double maxQueuedEntries = Double.POSITIVE_INFINITY;
    private double queuedEntries;

    void configure(double entriesPerMilli, double messageOverhead, double maxQueuedEntries) {
        this.entriesPerMilli = entriesPerMilli;
        this.messageOverhead = messageOverhead;
        this.maxQueuedEntries = maxQueuedEntries;
    }

    /** Drains the queue for a time, in ms. */
    void elapsed(double millis) {
        queuedEntries = Math.max(0, queuedEntries - millis * entriesPerMilli);
    }

    /**
     * Whether a response of so many entries may be sent now; an empty channel takes any, whose size
     * is not asked for.
     */
    boolean permits(IntSupplier entryCount, Urgency urgency) {
        double share = urgency == Urgency.URGENT ? URGENT_QUEUE_SHARE : ORDINARY_QUEUE_SHARE;
        return queuedEntries <= 0
                || queuedEntries + messageOverhead + entryCount.getAsInt()
                        <= share * maxQueuedEntries;
    }

    void sent(int entryCount) {
        queuedEntries += messageOverhead + entryCount;
    }
}
