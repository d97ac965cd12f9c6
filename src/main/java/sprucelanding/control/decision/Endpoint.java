package sprucelanding.control.decision;

/** One replica: what the list says, what was reported and what was met there. */
public final class Endpoint {
    public final long id;
    int zone;
    int kind;
    double listedWeight = 1;

    /** ms on the host's clock; 0 if long past. */
    double startedAt;

    EndpointState state = EndpointState.GONE;

    /** When it was last listed, if it no longer is. */
    double removedAt = Double.NEGATIVE_INFINITY;

    /** New on the list, or started anew, since the tables were last made to follow it. */
    boolean enteringService;

    /** Last reported share of busy cores, the same smoothed, and when the last report came. */
    double load;

    double smoothedLoad;
    double lastReportAt = Double.NEGATIVE_INFINITY;

    /** When a probe last brought a load. */
    double lastCheckReportAt = Double.NEGATIVE_INFINITY;

    /**
     * When a report last told of a settled try; reports before deafUntil tell of an earlier life.
     */
    double lastCompletedAt = Double.NEGATIVE_INFINITY;

    double ignoreReportsUntil;

    /**
     * Sums that fade with age: ms of busy time, tries by outcome, and the settled ones' answer
     * times.
     */
    double busyTime;

    double completed;
    double attempts;
    double failedAttempts;
    double responseTimeSum;

    /** Learnt speed; 1 is the mean. */
    double speed = 1;

    /** Sum of its weights, as last ordered, over all tables. */
    double sentWeight;

    /** It was away from the list at some time, or may have been. */
    boolean mayBeEjectedElsewhere;

    /** Shut out of all tables, for proxies that are not bound yet. */
    boolean ejectedEverywhere;

    boolean checkInProgress;

    /** Probes in a row without an answer, a refused connection counting for two; and with one. */
    int missedChecks;

    int passedChecks;

    /** Kept out of the tables, until when at least, and for how long when last found sick. */
    boolean ejected;

    double ejectedUntil = Double.NEGATIVE_INFINITY;
    double ejectionTime;

    /** It fell silent together with its zone, whose proxies then are likely lost as well. */
    boolean ejectedWithZone;

    /** Connections that tables of few servers ask of it, as they are dealt. */
    double subsetDemand;

    Endpoint(long id) {
        this.id = id;
    }

    /**
     * Whether another governor may have withdrawn it: proxies that come from there may shun it
     * still.
     */
    public boolean mayBeEjectedElsewhere() {
        return mayBeEjectedElsewhere;
    }

    /** Whether it may be given requests, as far as the list tells. */
    public boolean isAvailable() {
        return isListed();
    }

    boolean isListed() {
        return state == EndpointState.AVAILABLE || state == EndpointState.MISSING;
    }

    void updateListing(int zone, int kind, double weight, double startedAt) {
        this.zone = zone;
        this.kind = kind;
        this.listedWeight = weight > 0 ? weight : 1;
        this.startedAt = startedAt;
    }

    void loadReported(double load, double now) {
        if (load >= 0) {
            this.load = Math.min(load, 1);
            lastReportAt = now;
        }
    }

    void requestsReported(int attempts, int failed, double answerTime, double now) {
        this.attempts += attempts;
        this.failedAttempts += failed;
        completed += attempts - failed;
        responseTimeSum += (attempts - failed) * answerTime;
        lastCompletedAt = attempts > failed ? now : lastCompletedAt;
    }

    /** How much the missed ones count for. */
    void checkCompleted(boolean ok, int missed) {
        passedChecks = missed > 0 ? 0 : passedChecks + (ok ? 1 : 0);
        missedChecks = ok ? 0 : missedChecks + missed;
        checkInProgress = false;
    }

    double isUnresponsive() {
        return missedChecks > 0 ? 1 : 0;
    }

    void decayHealthEvidence(double part) {
        attempts *= part;
        failedAttempts *= part;
        responseTimeSum *= part;
    }

    /** It starts anew: nothing is known of it. */
    void resetStats() {
        busyTime =
                completed = attempts = failedAttempts = responseTimeSum = smoothedLoad = load = 0;
    }
}
