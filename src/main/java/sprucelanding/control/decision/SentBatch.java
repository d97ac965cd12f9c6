package sprucelanding.control.decision;

import java.util.Map;

/**
 * The messages that were sent at one time, and the number of entries that have left the channel
 * according to the acknowledgements.
 */
final class SentBatch {
    private final double bookedBefore;
    private final double entries;
    private final double messages;

    /** By proxy number, the entries of each message that has not been acknowledged yet. */
    private final Map<Integer, Double> unacknowledgedByProxy;

    private double acknowledgedEntries;

    /**
     * Creates a batch without acknowledgements.
     *
     * @param bookedBefore entries booked before the batch
     * @param entriesByProxy entries of the message to each proxy, by proxy number; the batch takes
     *     ownership of the map
     * @param messages number of messages in the batch
     */
    SentBatch(double bookedBefore, Map<Integer, Double> entriesByProxy, double messages) {
        this.bookedBefore = bookedBefore;
        this.unacknowledgedByProxy = entriesByProxy;
        this.messages = messages;
        entries = entriesByProxy.values().stream().mapToDouble(each -> each).sum();
    }

    /** Returns the number of entries booked before this batch. */
    double bookedBefore() {
        return bookedBefore;
    }

    /** Records the acknowledgement of an unknown proxy, as an equal share of the batch. */
    void acknowledgeShare() {
        acknowledgedEntries = Math.min(entries, acknowledgedEntries + entries / messages);
    }

    /**
     * Records that the message of a known proxy is acknowledged. Only the entries of this message
     * count. If one message were much larger than the others, an equal share of the batch would
     * count entries as delivered that are still queued behind that message.
     */
    void acknowledge(int proxy) {
        Double ownEntries = unacknowledgedByProxy.remove(proxy);
        acknowledgedEntries += ownEntries == null ? 0 : ownEntries;
    }

    /** Returns the number of entries that have certainly left the channel. */
    double deliveredEntries() {
        return bookedBefore + acknowledgedEntries;
    }
}
