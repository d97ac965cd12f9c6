package sprucelanding.control.decision;

/**
 * How an endpoint warms up after its start, as the site states it: it begins with a share of its
 * capacity, which grows evenly until the end of the warm-up.
 */
final class SlowStart {
    private final EventTime time;
    private double initialShare;
    private double warmupTime;

    SlowStart(EventTime time) {
        this.time = time;
    }

    /**
     * Sets what the site states.
     *
     * @param initialShare of its capacity that an endpoint has right after its start
     * @param warmupTime ms until it has all of it
     */
    void configure(double initialShare, double warmupTime) {
        this.initialShare = initialShare;
        this.warmupTime = warmupTime;
    }

    boolean isWarmingUp(Endpoint endpoint) {
        return isInFirst(1, endpoint);
    }

    /** Whether an endpoint is in that first part of its warm-up. */
    boolean isInFirst(double part, Endpoint endpoint) {
        return endpoint.startedAt() > 0 && time.now() - endpoint.startedAt() < part * warmupTime;
    }

    /** The share of its capacity that an endpoint has now. */
    double capacityShare(Endpoint endpoint) {
        if (!isWarmingUp(endpoint)) {
            return 1;
        }
        double age = time.now() - endpoint.startedAt();
        return initialShare + (1 - initialShare) * age / warmupTime;
    }
}
