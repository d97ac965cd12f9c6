package sprucelanding.control.decision;

import java.util.Arrays;

/**
 * Works out how large the tables may be that are laid for proxies which have to be bound by a
 * deadline.
 *
 * <p>Binds leave the channel one after the other in the order of their deadlines. The i-th of them
 * is in time if all up to it, and what waits already, leave the channel before its deadline less
 * the time that a message takes on its way. The budget is the largest size for which this holds for
 * every proxy at once.
 */
final class BindBudget {
    /** The budget where no deadline binds. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * Part of the channel that removals, which have deadlines of their own, and levels may need
     * meanwhile.
     */
    private static final double RESERVED_SHARE = 0.35;

    private final double linesPerMs;
    private final double maxTransitTime;

    /**
     * Creates a budget for a channel.
     *
     * @param linesPerMs the pace at which the channel is seen to drain
     * @param transit ms that a message takes at most from leaving the channel until it is applied
     */
    public BindBudget(double linesPerMs, double transit) {
        this.linesPerMs = linesPerMs * (1 - RESERVED_SHARE);
        this.maxTransitTime = transit;
    }

    /**
     * The lines that one bind may cost, its message's head included, so that all are in time; 0 or
     * less if none is.
     *
     * @param now the current time, ms
     * @param deadlines of the proxies to bind; an infinite one does not count, nor does one that
     *     cannot be kept any more
     * @param expected proxies that are likely to come besides, each with the deadline {@code
     *     expectedBy}
     * @param expectedBy deadline of those that are expected, ms
     * @param waiting lines that wait in the channel already
     */
    public double linesPerBind(
            double now, double[] deadlines, int expected, double expectedBy, double waiting) {
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
            least = Math.min(least, deliverableLines(now, sorted[i], waiting) / (i + 1));
        }
        return expected == 0
                ? least
                : Math.min(
                        least,
                        deliverableLines(now, expectedBy, waiting) / (sorted.length + expected));
    }

    private double deliverableLines(double now, double deadline, double waiting) {
        return Math.max(0, deadline - now - maxTransitTime) * linesPerMs - waiting;
    }
}
