package sprucelanding.control.delivery;

/** The limit on responses to one proxy within a sliding window; a part is reserved for removals. */
final class MessageRateLimit {
    private static final double ORDINARY_SHARE = 0.75;

    private final int maxMessages;
    private final double windowMillis;

    /**
     * Creates a limit.
     *
     * @param maxMessages responses to one proxy within the window; 0: no limit
     * @param windowMillis length of the window, ms
     */
    MessageRateLimit(int maxMessages, double windowMillis) {
        this.maxMessages = maxMessages;
        this.windowMillis = windowMillis;
    }

    /** Whether one more response may be sent now. */
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
