package sprucelanding.replay.estimate;

/** What all proxies together reported of one endpoint within one window. */
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
     * @param loadSum sum of the utilizations that the endpoint told with its answers, each 0 to 1
     * @param samples how many utilizations that were
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

    /** Mean utilization, at most 1; 0 if the endpoint told none. */
    double utilization() {
        return loadSamples == 0 ? 0 : Math.min(1, totalLoad / loadSamples);
    }
}
