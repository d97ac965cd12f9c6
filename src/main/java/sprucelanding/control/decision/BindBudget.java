package sprucelanding.control.decision;

import java.util.Arrays;

/**
 * Calculates the largest size of tables with which every proxy is bound by its deadline.
 *
 * <p>Binds leave the channel one after the other, in the order of their deadlines. A bind is in
 * time if the queued entries, all earlier binds and the bind itself leave the channel before its
 * deadline minus the transit time of a message. The budget is the largest size for which this holds
 * for every proxy at once. Sizes and costs are counted in table entries, times in ms.
 */
final class BindBudget {
    /** The budget if no proxy has a deadline. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * Share of the channel that is reserved for admission levels and for removals, which have their
     * own deadlines.
     */
    private static final double RESERVED_SHARE = 0.35;

    private final double entriesPerMs;
    private final double maxTransitTime;

    /**
     * Creates a budget for a channel.
     *
     * @param entriesPerMs measured rate at which the channel drains
     * @param maxTransitTime longest time from when a message leaves the channel until the proxy
     *     applies it, ms
     */
    public BindBudget(double entriesPerMs, double maxTransitTime) {
        this.entriesPerMs = entriesPerMs * (1 - RESERVED_SHARE);
        this.maxTransitTime = maxTransitTime;
    }

    /**
     * Returns how many entries one bind may cost so that all binds are in time. The cost includes
     * the overhead of the message.
     *
     * @param now the current time, ms
     * @param deadlines deadlines of the proxies to bind, ms; infinite deadlines and deadlines that
     *     can no longer be met are ignored
     * @param expectedJoins proxies that are expected to join soon and need a bind too
     * @param expectedDeadline deadline of each of the expected proxies, ms
     * @param queuedEntries entries that are queued in the channel
     * @return the budget; 0 or negative if some bind cannot be in time
     */
    public double entriesPerBind(
            double now,
            double[] deadlines,
            int expectedJoins,
            double expectedDeadline,
            double queuedEntries) {
        double[] sorted =
                Arrays.stream(deadlines)
                        .filter(d -> d < Double.POSITIVE_INFINITY && d > now + maxTransitTime)
                        .sorted()
                        .toArray();
        if (sorted.length == 0) {
            return UNLIMITED;
        }
        double least = UNLIMITED;
        for (int i = 0; i < sorted.length; i++) {
            least = Math.min(least, deliverableEntries(now, sorted[i], queuedEntries) / (i + 1));
        }
        return expectedJoins == 0
                ? least
                : Math.min(
                        least,
                        deliverableEntries(now, expectedDeadline, queuedEntries)
                                / (sorted.length + expectedJoins));
    }

    private double deliverableEntries(double now, double deadline, double queuedEntries) {
        return Math.max(0, deadline - now - maxTransitTime) * entriesPerMs - queuedEntries;
    }
}
