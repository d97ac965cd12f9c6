package sprucelanding.control.delivery;

/**
 * Limit on the number of updates to one proxy within a sliding window. A part of the limit is
 * reserved for removals.
 */
final class MessageRateLimit {
    /** Fraction of the limit that is available to ordinary updates. */
    private static final double ORDINARY_SHARE = 0.75;

    private final int maxMessages;
    private final double windowMillis;

    /**
     * Creates a limit.
     *
     * @param maxMessages maximum number of updates to one proxy within the window; 0 for no limit
     * @param windowMillis length of the window, in ms
     */
    MessageRateLimit(int maxMessages, double windowMillis) {
        this.maxMessages = maxMessages;
        this.windowMillis = windowMillis;
    }

    /** Returns whether one more update may be sent now. */
    boolean permits(MessageWindow window, Urgency urgency, double now) {
        int sent = window.countSince(now - windowMillis);
        return maxMessages == 0 || sent < limit(urgency);
    }

    private int limit(Urgency urgency) {
        return urgency == Urgency.URGENT
                ? maxMessages
                : Math.max(1, (int) (maxMessages * ORDINARY_SHARE));
    }
}
