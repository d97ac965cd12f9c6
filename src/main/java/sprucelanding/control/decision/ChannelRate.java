package sprucelanding.control.decision;

/**
 * Measures the rate at which the channel drains, from the entries that were booked and the entries
 * that are still queued. Rates are in entries per ms.
 */
final class ChannelRate {
    /** Smallest measured rate, as a share of the configured rate. */
    private static final double MIN_RATE_SHARE = 0.05;

    /** Largest factor by which the rate recovers in a periodic update while the queue is short. */
    private static final double RATE_RECOVERY_FACTOR = 1.6;

    private double configured;
    private double measured;
    private double queuedAtUpdate;
    private double bookedAtUpdate;

    /** Sets the rate at which the channel drains under normal conditions. */
    void configure(double rate) {
        configured = rate;
        measured = rate;
    }

    double configured() {
        return configured;
    }

    double measured() {
        return measured;
    }

    /**
     * Measures the rate once in each periodic update.
     *
     * @param queued number of entries that are queued now
     * @param booked number of entries that have been booked so far
     */
    void measure(double queued, double booked) {
        double interval = EventTime.UPDATE_INTERVAL_MS;
        double drainedPerMs = (queuedAtUpdate + booked - bookedAtUpdate - queued) / interval;
        boolean canHaveBeenEmpty = queuedAtUpdate < interval * measured;
        if (canHaveBeenEmpty) {
            measured = Math.min(configured, RATE_RECOVERY_FACTOR * measured);
        } else {
            double averaged = (measured + Math.min(configured, drainedPerMs)) / 2;
            measured = Math.max(MIN_RATE_SHARE * configured, averaged);
        }
        queuedAtUpdate = queued;
        bookedAtUpdate = booked;
    }
}
