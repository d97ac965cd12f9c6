package sprucelanding.config.configstream;

/**
 * Monitor of the service of the fleet. Compares service under a version on probation with the
 * average before the probation. Distinguishes drops that the version may have caused from drops
 * that began with a fault of the fleet.
 */
final class ServiceMonitor {
    /** Largest drop of service below the baseline, 0 to 1, that is tolerated. */
    private static final double MAX_SERVICE_DROP = 0.05;

    /** Time that a larger drop must last before the drop counts. */
    private static final double MIN_DROP_MS = 5000;

    private static final double AVERAGING_TIME_CONSTANT_MS = 10_000;

    // Both are NaN until service is reported for the first time.
    private double averageService = Double.NaN;
    private double reportedAtMs = Double.NaN;

    /** Average of service before the probation. NaN if no service was reported before. */
    private double baselineService = Double.NaN;

    /**
     * Time in ms since which service is low, that is more than the tolerated drop below the
     * baseline. NaN while service is not low.
     */
    private double lowSinceMs = Double.NaN;

    private boolean fleetCalm = true;

    /** Whether the fleet was not calm at some time of the probation before service dropped. */
    private boolean disturbedBeforeDrop;

    /**
     * Records a measurement of service.
     *
     * @param nowMs time of the measurement in ms
     * @param serviceShare service, 0 to 1
     * @param fleetIsCalm whether no loss or rejection is in progress that a change could make worse
     * @param onProbation whether a version is on probation
     */
    void serviceReported(
            double nowMs, double serviceShare, boolean fleetIsCalm, boolean onProbation) {
        double smoothing =
                Double.isNaN(reportedAtMs)
                        ? 1
                        : Math.min(1, (nowMs - reportedAtMs) / AVERAGING_TIME_CONSTANT_MS);
        reportedAtMs = nowMs;
        averageService =
                Double.isNaN(averageService)
                        ? serviceShare
                        : averageService + (serviceShare - averageService) * smoothing;
        fleetCalm = fleetIsCalm;
        if (!fleetCalm && !isLow()) {
            disturbedBeforeDrop = true;
        }
        if (!onProbation || !(serviceShare < baselineService - MAX_SERVICE_DROP)) {
            lowSinceMs = Double.NaN;
        } else if (!isLow()) {
            lowSinceMs = nowMs;
        }
    }

    /** Starts a probation. Service is compared with the average up to this call from now on. */
    void probationStarted() {
        baselineService = averageService;
        disturbedBeforeDrop = false;
        lowSinceMs = Double.NaN;
    }

    boolean isFleetCalm() {
        return fleetCalm;
    }

    /** Returns whether service is low, regardless of how long. */
    boolean isLow() {
        return !Double.isNaN(lowSinceMs);
    }

    /** Returns whether service has been low for longer than the minimum time of a drop. */
    boolean hasDropped(double nowMs) {
        return nowMs - lowSinceMs > MIN_DROP_MS;
    }

    /**
     * Returns whether the fleet was not calm before service dropped and may have caused the drop.
     */
    boolean wasDisturbedBeforeDrop() {
        return disturbedBeforeDrop;
    }

    /** Restarts the time measurement of the current drop after the drop was reported. */
    void forgetDrop() {
        lowSinceMs = Double.NaN;
    }

    double baselineService() {
        return baselineService;
    }

    double averageService() {
        return averageService;
    }
}
