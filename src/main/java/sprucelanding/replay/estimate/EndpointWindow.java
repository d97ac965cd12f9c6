package sprucelanding.replay.estimate;

/** The outcomes that all proxies reported for one endpoint within one window, in total. */
final class EndpointWindow {
    private long completed;
    private long failed;
    private double totalLoad;
    private long loadSamples;

    /**
     * Adds one report.
     *
     * @param moreCompleted requests that the endpoint answered
     * @param moreFailed attempts that failed
     * @param loadSum sum of the utilizations that the endpoint's responses carried, each 0 to 1
     * @param samples number of utilizations in the sum
     */
    void add(long moreCompleted, long moreFailed, double loadSum, long samples) {
        completed += moreCompleted;
        failed += moreFailed;
        totalLoad += loadSum;
        loadSamples += samples;
    }

    long completed() {
        return completed;
    }

    long failed() {
        return failed;
    }

    long attempts() {
        return failed + completed;
    }

    /** Returns the mean utilization, at most 1; 0 if no response carried a utilization. */
    double utilization() {
        return loadSamples == 0 ? 0 : Math.min(1, totalLoad / loadSamples);
    }
}
