package sprucelanding.control.decision;

/**
 * Decides from which time on a proxy may be sent its next message, at sites that limit the messages
 * to a proxy within a span.
 *
 * <p>A removal must be sent within the removal wait after it became known: the drain grace, less
 * the time that messages need. All removals that are known when a message is sent share that
 * message. If a message at the end of each wait is within the limit, the grace can be kept whatever
 * becomes known and when. These messages are the reserve. A message has to wait until it leaves
 * room for the reserve. A removal also waits while earlier messages are in the channel, since the
 * overhead of many small messages would delay all of them. A removal waits at most until its latest
 * time.
 *
 * <p>If the limit allows fewer messages, no schedule can keep the grace in the worst case. Removals
 * then always wait until their latest time, because this needs the fewest messages, and the reserve
 * is one message for each equal part of the span.
 *
 * <p>Times are in ms.
 */
final class MessagePacing {
    /** Tag of the timer for the time at which a waiting message may be sent. */
    private static final int TIMER_TAG = 3;

    /** Time that a timer, a decision and the writing of a message may take, ms. */
    private static final double SCHEDULING_MARGIN_MS = 25;

    /** Time after the end of a span at which the message is certainly allowed, ms. */
    private static final double TIMER_RESOLUTION_MS = 1;

    /**
     * Smallest share of the removal wait after which a removal must be sent because many removals
     * share its message, which takes longer to send.
     */
    private static final double SHORTEST_WAIT_SHARE = 0.5;

    private final EventTime time;
    private int limit;
    private double span;

    /** Time within which a removal must have been sent; infinite if no grace is known. */
    private double removalWait = Double.POSITIVE_INFINITY;

    /** Earliest time at which a removal that has been refused at this time may be sent. */
    private double nextAttempt = Double.POSITIVE_INFINITY;

    private double refusedAt = EventTime.NEVER;

    /** Time at which the host's timer fires; infinite if no timer is set. */
    private double timerAt = Double.POSITIVE_INFINITY;

    /** Creates a pacing without a limit. */
    MessagePacing(EventTime time) {
        this.time = time;
    }

    /**
     * Sets the limit.
     *
     * @param maxMessages largest number of messages to one proxy within the span; 0 for no limit
     * @param countedSpan period in which messages are counted
     */
    void configure(int maxMessages, double countedSpan) {
        limit = maxMessages;
        span = countedSpan;
    }

    boolean hasLimit() {
        return limit > 0;
    }

    /**
     * Sets the time from the event of a removal until the removal must have been sent.
     *
     * @param timeToArrive longest time from the order of a removal until it is in force
     */
    void setRemovalWait(double grace, double timeToArrive) {
        removalWait = grace - timeToArrive - SCHEDULING_MARGIN_MS;
    }

    /**
     * Returns the time by which a message must be ordered that has to be in force by a deadline.
     */
    double latestTime(double deadline, double timeToArrive) {
        return deadline - timeToArrive - SCHEDULING_MARGIN_MS;
    }

    /** Returns whether the proxy may be sent a message with an update that has no deadline. */
    boolean allows(Proxy proxy, ChannelPriority priority) {
        if (!hasLimit() || proxy.hasMessageAt(time.now())) {
            return true;
        }
        int usable = (int) Math.floor(priority.share() * limit);
        return Math.max(endOfSpan(proxy, usable), reserveTime(proxy)) < time.now();
    }

    /**
     * Returns whether the proxy may be sent a message with a removal.
     *
     * @param queueEmptyAt time at which the messages before it have left the channel
     * @param latest time at which the removal must be sent; infinite if it has no deadline
     */
    boolean allowsRemoval(Proxy proxy, double queueEmptyAt, double latest) {
        if (!hasLimit() || proxy.hasMessageAt(time.now())) {
            return true;
        }
        double earliest = removalTime(proxy, queueEmptyAt, latest);
        if (earliest < time.now()) {
            return true;
        }
        nextAttempt = refusedAt == time.now() ? Math.min(nextAttempt, earliest) : earliest;
        refusedAt = time.now();
        return false;
    }

    private double removalTime(Proxy proxy, double queueEmptyAt, double latest) {
        double preferred =
                canAlwaysKeepGrace() || latest == Double.POSITIVE_INFINITY
                        ? Math.min(latest, Math.max(queueEmptyAt, reserveTime(proxy)))
                        : latest;
        return Math.max(endOfSpan(proxy, limit), preferred);
    }

    /** Returns whether the limit suffices for removals that become known at any time. */
    private boolean canAlwaysKeepGrace() {
        return removalWait >= span / limit;
    }

    /** Returns the time from which on a message leaves room for the reserve. */
    private double reserveTime(Proxy proxy) {
        double interval = Math.max(span / limit, SHORTEST_WAIT_SHARE * removalWait);
        double earliest = EventTime.NEVER;
        for (int reserved = 1; reserved < limit && reserved * interval < span; reserved++) {
            double needed = endOfSpan(proxy, limit - reserved) - reserved * interval;
            earliest = Math.max(earliest, needed);
        }
        return earliest;
    }

    /**
     * Returns the time from which on the message counts for less than the given number of messages
     * in the span.
     */
    private double endOfSpan(Proxy proxy, int messages) {
        return messages <= 0 ? Double.POSITIVE_INFINITY : proxy.messageTime(messages) + span;
    }

    void timerFired(int tag) {
        timerAt = tag == TIMER_TAG ? Double.POSITIVE_INFINITY : timerAt;
    }

    /**
     * Sets the host's timer for the next attempt.
     *
     * @return false if no message is waiting or the timer already fires in time
     */
    boolean setTimer(ControllerOutput output) {
        if (refusedAt != time.now() || nextAttempt + TIMER_RESOLUTION_MS >= timerAt) {
            return false;
        }
        timerAt = nextAttempt + TIMER_RESOLUTION_MS;
        output.setTimer(TIMER_TAG, timerAt);
        return true;
    }
}
