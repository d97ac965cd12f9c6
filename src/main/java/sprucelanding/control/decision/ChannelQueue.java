package sprucelanding.control.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The entries that may still be queued in the channel, according to the acknowledgements.
 *
 * <p>All updates at one time form a batch, with one message to each proxy concerned. Messages are
 * delivered in order. An acknowledgement therefore shows that everything booked before its message
 * has left the channel. Times are in ms, costs in table entries, rates in entries per ms.
 */
final class ChannelQueue {
    /** Acknowledgement numbers are message numbers modulo this value. */
    private static final int ACKNOWLEDGEMENT_NUMBER_COUNT = 60_000;

    private final EventTime time;
    private final ChannelRate rate;

    /** By acknowledgement number, the batches that no later acknowledgement has made obsolete. */
    private final Map<Integer, SentBatch> unacknowledgedBatches = new LinkedHashMap<>();

    private double maxTransitTime = EventTime.UPDATE_INTERVAL_MS;
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

    ChannelQueue(EventTime time, ChannelRate rate) {
        this.time = time;
        this.rate = rate;
    }

    /** Sets the longest time that a message takes to reach a proxy and be applied, ms. */
    void configure(double maxTransitTimeMs) {
        maxTransitTime = maxTransitTimeMs;
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
    double entries() {
        double overdueTime =
                time.now()
                        - lastAcknowledgementTime
                        - maxTransitTime
                        - EventTime.UPDATE_INTERVAL_MS;
        double silence = Math.max(0, overdueTime);
        return Math.max(
                0,
                bookedEntries
                        - deliveredEntries
                        - silence * rate.configured() * ChannelBudget.TRUSTED_RATE_SHARE);
    }

    /** Notes that no acknowledgement is missing if nothing is queued. */
    void settleIfEmpty() {
        if (entries() == 0) {
            deliveredEntries = bookedEntries;
            lastAcknowledgementTime = time.now();
        }
    }

    /** Measures the rate at which the channel drains, once in each periodic update. */
    void measureRate() {
        rate.measure(entries(), bookedEntries);
    }

    /** Adds entries of the batch at the present time, in the given order of the proxies. */
    void book(Map<Integer, Double> entriesByProxy, double entries) {
        if (lastBatchTime != time.now()) {
            bookedBeforeBatch = bookedEntries;
            batchEntriesByProxy.clear();
        }
        lastBatchTime = time.now();
        entriesByProxy.forEach(
                (proxy, added) -> batchEntriesByProxy.merge(proxy, added, Double::sum));
        bookedEntries += entries;
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
}
