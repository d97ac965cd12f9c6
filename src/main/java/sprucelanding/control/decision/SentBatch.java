package sprucelanding.control.decision;

import java.util.Map;

/** The messages that were sent at one time, and what their acknowledgements show to have left. */
final class SentBatch {
    private final double bookedBefore;
    private final double lines;
    private final double messages;

    /** By the number of its proxy, the lines of each message that is not acknowledged yet. */
    private final Map<Integer, Double> unacknowledgedByProxy;

    private double acknowledgedLines;

    /**
     * Creates the record of a batch of which nothing is acknowledged.
     *
     * @param bookedBefore lines booked before it
     * @param linesByProxy lines of its message to each proxy, by the proxy's number; this object's
     *     from now on
     * @param messages how many of them were sent
     */
    SentBatch(double bookedBefore, Map<Integer, Double> linesByProxy, double messages) {
        this.bookedBefore = bookedBefore;
        this.unacknowledgedByProxy = linesByProxy;
        this.messages = messages;
        lines = linesByProxy.values().stream().mapToDouble(each -> each).sum();
    }

    /** Lines booked before this batch. */
    double bookedBefore() {
        return bookedBefore;
    }

    /** Some proxy's message is acknowledged, it is not known whose: a share of all counts. */
    void acknowledgeShare() {
        acknowledgedLines = Math.min(lines, acknowledgedLines + lines / messages);
    }

    /**
     * That proxy's message is acknowledged. Its own lines count and no more: where one message is
     * much larger than the others, a share of all would show lines to have left that wait behind
     * it.
     */
    void acknowledge(int proxy) {
        Double own = unacknowledgedByProxy.remove(proxy);
        acknowledgedLines += own == null ? 0 : own;
    }

    /** Lines that have left for certain: all before it, and its own that are acknowledged. */
    double deliveredLines() {
        return bookedBefore + acknowledgedLines;
    }
}
