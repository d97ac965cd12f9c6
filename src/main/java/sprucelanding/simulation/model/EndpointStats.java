package sprucelanding.simulation.model;

/**
 * What a proxy met at one replica since it last told: tries, and of those that ended how, how long
 * and with what load.
 */
public final class EndpointStats {
    public long issued;
    public long completed;
    public long failed;

    /** ms, summed over the settled ones. */
    public double responseMillis;

    /** Shares of busy cores that answers told, summed, and how many told one. */
    public double utilizationSum;

    public long utilizationReports;

    /**
     * A try ended.
     *
     * @param took ms
     * @param util NaN if the answer told none
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
}
