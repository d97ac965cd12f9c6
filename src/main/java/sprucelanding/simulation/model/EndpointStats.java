package sprucelanding.simulation.model;

/**
 * Counters of what a proxy observed at one endpoint since the proxy's last load report: the
 * attempts issued, and for ended attempts the result, the response time and the reported
 * utilization.
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
     * @param utilization share of busy cores that the response reported; NaN if it reported none
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

    /** Returns whether nothing has been counted. */
    public boolean isEmpty() {
        return issued <= 0 && completed <= 0 && failed <= 0;
    }

    /** Returns the number of attempts started. */
    public long issued() {
        return issued;
    }

    /** Returns the number of attempts that succeeded. */
    public long completed() {
        return completed;
    }

    /** Returns the number of attempts that failed. */
    public long failed() {
        return failed;
    }

    /** Returns the sum of the response times of all successful attempts, in ms. */
    public double responseMillis() {
        return responseMillis;
    }

    /** Returns the sum of the utilizations that responses reported. */
    public double utilizationSum() {
        return utilizationSum;
    }

    /** Returns the number of responses that reported a utilization. */
    public long utilizationReports() {
        return utilizationReports;
    }
}
