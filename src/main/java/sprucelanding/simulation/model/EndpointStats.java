package sprucelanding.simulation.model;

/**
 * What a proxy observed at one endpoint since its last load report: attempts issued, and of those
 * that ended their result, response time and reported utilization.
 */
public final class EndpointStats {
    private long issued;
    private long completed;
    private long failed;
    private double responseMillis;
    private double utilizationSum;
    private long utilizationReports;

    /** Counts an attempt that was started. */
    public void attemptStarted() {
        issued++;
    }

    /**
     * Counts an attempt that ended.
     *
     * @param succeeded whether the response had status 200
     * @param elapsedMillis ms since the attempt was started
     * @param utilization share of busy cores in the response, NaN if it reported none
     */
    public void attemptEnded(boolean succeeded, double elapsedMillis, double utilization) {
        if (succeeded) {
            completed++;
            responseMillis += elapsedMillis;
        } else {
            failed++;
        }
        if (utilization >= 0) {
            utilizationSum += utilization;
            utilizationReports++;
        }
    }

    /** Whether nothing has been counted. */
    public boolean isEmpty() {
        return issued <= 0 && completed <= 0 && failed <= 0;
    }

    /** Attempts started. */
    public long issued() {
        return issued;
    }

    /** Attempts that succeeded. */
    public long completed() {
        return completed;
    }

    /** Attempts that failed. */
    public long failed() {
        return failed;
    }

    /** The ms of all successful attempts, summed. */
    public double responseMillis() {
        return responseMillis;
    }

    /** Shares of busy cores that responses reported, summed. */
    public double utilizationSum() {
        return utilizationSum;
    }

    /** Responses that reported a utilization. */
    public long utilizationReports() {
        return utilizationReports;
    }
}
