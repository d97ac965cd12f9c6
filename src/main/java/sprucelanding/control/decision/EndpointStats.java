package sprucelanding.control.decision;

/**
 * What reports and health checks have told of one endpoint, and the speed that is estimated from
 * it. {@link LoadEstimator} writes it, others read.
 */
final class EndpointStats {
    /** Share of busy cores as last reported, 0 to 1. */
    private double load;

    private double smoothedLoad;
    private double lastLoadReportAt = EventTime.NEVER;

    /** When a health check last brought a load, ms. */
    private double lastCheckReportAt = EventTime.NEVER;

    /** When a report last told of a completed request, ms. */
    private double lastCompletedAt = EventTime.NEVER;

    /** Reports before that time, ms, tell of the process before. */
    private double ignoreReportsUntil;

    /** Sums that decay with age: ms of busy time, requests, and ms of response time. */
    private double busyTime;

    private double completed;
    private double attempts;
    private double failedAttempts;
    private double responseTimeSum;

    /** Estimated speed; 1 is the mean. */
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

    /** Takes in a reported load; a negative one and NaN tell nothing. */
    void loadReported(double reported, double now) {
        if (reported >= 0) {
            load = Math.min(reported, 1);
            lastLoadReportAt = now;
        }
    }

    void checkReportedLoadAt(double now) {
        lastCheckReportAt = now;
    }

    /** Takes in requests that proxies sent there; the response time is the mean in ms. */
    void requestsReported(int sent, int failed, double responseTime, double now) {
        attempts += sent;
        failedAttempts += failed;
        completed += sent - failed;
        responseTimeSum += (sent - failed) * responseTime;
        lastCompletedAt = sent > failed ? now : lastCompletedAt;
    }

    /** Adds the busy time of one interval to the evidence of speed, after the decay of the old. */
    void accumulateBusyTime(double decay, boolean hasFreshReport, double interval) {
        busyTime = busyTime * decay + (hasFreshReport ? load * interval : 0);
        completed *= decay;
    }

    /** Moves the smoothed load to the last one, but for that part of the difference. */
    void smoothLoad(double keptPart) {
        smoothedLoad = load + (smoothedLoad - load) * keptPart;
    }

    /** Decays the evidence of health to that part. */
    void decayHealthEvidence(double keptPart) {
        attempts *= keptPart;
        failedAttempts *= keptPart;
        responseTimeSum *= keptPart;
    }

    /** The endpoint starts anew: nothing is known of its load and speed. */
    void reset() {
        busyTime = 0;
        completed = 0;
        attempts = 0;
        failedAttempts = 0;
        responseTimeSum = 0;
        smoothedLoad = 0;
        load = 0;
    }

    /** Another process runs there now: reports of the one before are ignored for a while. */
    void newProcessStarted(double ignoreUntil) {
        ignoreReportsUntil = ignoreUntil;
        lastLoadReportAt = EventTime.NEVER;
        lastCompletedAt = EventTime.NEVER;
    }
}
