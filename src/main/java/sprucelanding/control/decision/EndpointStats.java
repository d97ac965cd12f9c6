package sprucelanding.control.decision;

/**
 * Statistics of one endpoint from load reports and health checks, and the speed estimated from
 * them. Only {@link LoadEstimator} and {@link WeightPolicy} change the statistics. Times are ms on
 * the host's clock.
 */
final class EndpointStats {
    /**
     * Evidence below which there is none. Evidence that only decays would become denormal after
     * about an hour, and quotients of denormal numbers are not finite.
     */
    private static final double NEGLIGIBLE_EVIDENCE = 1e-100;

    /** Last reported share of busy cores, 0 to 1. */
    private double load;

    private double smoothedLoad;
    private double lastLoadReportAt = EventTime.NEVER;

    /** Time of the last health check that reported a load. */
    private double lastCheckReportAt = EventTime.NEVER;

    /** Time of the last load report that contained a completed request. */
    private double lastCompletedAt = EventTime.NEVER;

    /** Time before which load reports are ignored, since they may describe an old process. */
    private double ignoreReportsUntil;

    /** Decayed busy time, ms. */
    private double busyTime;

    /** Number of completed requests, decayed at the same rate as the busy time. */
    private double completed;

    /** Decayed number of attempts. */
    private double attempts;

    /** Decayed number of failed attempts. */
    private double failedAttempts;

    /** Decayed sum of the response times of successful attempts, ms. */
    private double responseTimeSum;

    /** Estimated speed; 1 is the mean of all endpoints. */
    private double speed = 1;

    double load() {
        return load;
    }

    double smoothedLoad() {
        return smoothedLoad;
    }

    double lastLoadReportAt() {
        return lastLoadReportAt;
    }

    double lastCheckReportAt() {
        return lastCheckReportAt;
    }

    double lastCompletedAt() {
        return lastCompletedAt;
    }

    double ignoreReportsUntil() {
        return ignoreReportsUntil;
    }

    double busyTime() {
        return busyTime;
    }

    double completed() {
        return completed;
    }

    double attempts() {
        return attempts;
    }

    double failedAttempts() {
        return failedAttempts;
    }

    double responseTimeSum() {
        return responseTimeSum;
    }

    double speed() {
        return speed;
    }

    void setSpeed(double speed) {
        this.speed = speed;
    }

    /** Records a reported load. A negative load or NaN has no effect. */
    void loadReported(double reportedLoad, double now) {
        if (reportedLoad >= 0) {
            load = Math.min(reportedLoad, 1);
            lastLoadReportAt = now;
        }
    }

    /** Records that a health check reported a load. */
    void checkReportedLoadAt(double now) {
        lastCheckReportAt = now;
    }

    /**
     * Records attempts that proxies sent to the endpoint.
     *
     * @param reportedAttempts number of attempts
     * @param failed number of attempts that failed
     * @param responseTime mean response time of the successful attempts, ms
     */
    void requestsReported(int reportedAttempts, int failed, double responseTime, double now) {
        attempts += reportedAttempts;
        failedAttempts += failed;
        completed += reportedAttempts - failed;
        responseTimeSum += (reportedAttempts - failed) * responseTime;
        lastCompletedAt = reportedAttempts > failed ? now : lastCompletedAt;
    }

    /**
     * Decays the evidence of speed and adds the busy time of one interval.
     *
     * @param keptShare share of the old evidence that is kept
     * @param hasFreshReport whether the last reported load is recent enough to be counted
     * @param intervalMs length of the interval
     */
    void accumulateBusyTime(double keptShare, boolean hasFreshReport, double intervalMs) {
        busyTime = decayed(busyTime, keptShare) + (hasFreshReport ? load * intervalMs : 0);
        completed = decayed(completed, keptShare);
    }

    /** Moves the smoothed load to the last load, except for a share of the difference. */
    void smoothLoad(double keptShare) {
        smoothedLoad = load + (smoothedLoad - load) * keptShare;
    }

    /** Decays the evidence of health to the given share. */
    void decayHealthEvidence(double keptShare) {
        attempts = decayed(attempts, keptShare);
        failedAttempts = decayed(failedAttempts, keptShare);
        responseTimeSum = decayed(responseTimeSum, keptShare);
    }

    private static double decayed(double evidence, double keptShare) {
        double kept = evidence * keptShare;
        return kept < NEGLIGIBLE_EVIDENCE ? 0 : kept;
    }

    /** Discards all evidence of load, speed and health when the endpoint enters a slow start. */
    void reset() {
        busyTime = 0;
        completed = 0;
        attempts = 0;
        failedAttempts = 0;
        responseTimeSum = 0;
        smoothedLoad = 0;
        load = 0;
    }

    /** Ignores load reports until the given time, since they may describe the old process. */
    void newProcessStarted(double ignoreUntil) {
        ignoreReportsUntil = ignoreUntil;
        lastLoadReportAt = EventTime.NEVER;
        lastCompletedAt = EventTime.NEVER;
    }
}
