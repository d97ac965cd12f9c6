package sprucelanding.control.decision;

import java.util.Map;

/** One moment's messages, and what their receipts show to have left the channel. */
final class SentBatch {
    /** Lines booked before this moment. */
    final double bookedBefore;

    private final double lines;
    private final double messages;

    /** By the number of its proxy, the lines of each message that is not confirmed yet. */
    private final Map<Integer, Double> unconfirmedByProxy;

    private double confirmed;

    /**
     * Creates the record of a moment of which nothing is confirmed.
     *
     * @param before lines booked before it
     * @param byProxy lines of its message to each proxy, by the proxy's number; this object's from
     *     now on
     * @param messages how many of them were written
     */
    SentBatch(double before, Map<Integer, Double> byProxy, double messages) {
        this.bookedBefore = before;
        this.unconfirmedByProxy = byProxy;
        this.messages = messages;
        lines = byProxy.values().stream().mapToDouble(each -> each).sum();
    }

    /** Some proxy's message is confirmed, it is not known whose: a share of all counts. */
    void confirmShare() {
        confirmed = Math.min(lines, confirmed + lines / messages);
    }

    /**
     * That proxy's message is confirmed. Its own lines count and no more: where one message is much
     * larger than the others, a share of all would show lines to have left that wait behind it.
     */
    void confirm(int proxy) {
        Double own = unconfirmedByProxy.remove(proxy);
        confirmed += own == null ? 0 : own;
    }

    /** Lines that have left for certain: all before it, and its own that are confirmed. */
    double delivered() {
        return bookedBefore + confirmed;
    }
}
