package sprucelanding.control.decision;

/**
 * Capacity of endpoints during the warm-up after their start. An endpoint starts with a configured
 * share of its capacity. The share grows linearly until the end of the warm-up.
 */
final class SlowStart {
    private final EventTime time;
    private double initialShare;
    private double warmupTimeMs;

    SlowStart(EventTime time) {
        this.time = time;
    }

    /**
     * Configures the warm-up.
     *
     * @param initialShare share of its capacity that an endpoint has immediately after its start
     * @param warmupTimeMs time until an endpoint has its full capacity
     */
    void configure(double initialShare, double warmupTimeMs) {
        this.initialShare = initialShare;
        this.warmupTimeMs = warmupTimeMs;
    }

    boolean isWarmingUp(Endpoint endpoint) {
        return isInFirstPart(1, endpoint);
    }

    /** Returns whether an endpoint is in the given first part of its warm-up, 0 to 1. */
    boolean isInFirstPart(double part, Endpoint endpoint) {
        return endpoint.startedAt() > 0 && time.now() - endpoint.startedAt() < part * warmupTimeMs;
    }

    /**
     * Returns the share of its capacity that an endpoint has now, 0 to 1. An endpoint whose start
     * is ahead of the host's clock may have none.
     */
    double capacityShare(Endpoint endpoint) {
        if (!isWarmingUp(endpoint)) {
            return 1;
        }
        double age = time.now() - endpoint.startedAt();
        return Math.max(0, initialShare + (1 - initialShare) * age / warmupTimeMs);
    }
}
