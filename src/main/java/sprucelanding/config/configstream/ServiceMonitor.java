package sprucelanding.config.configstream;

/**
 * Compares the fleet's service under a version on probation with the average before, and tells
 * apart drops that the version may have caused from those that began with a fault of the fleet.
 */
final class ServiceMonitor {
    /** Drop of service, 0 to 1, that counts. */
    private static final double MAX_SERVICE_DROP = 0.05;

    /** How long a drop must last to count. */
    private static final double MIN_DROP_MILLIS = 5000;

    private static final double AVERAGING_MILLIS = 10_000;

    // NaN until service was reported.
    private double averageService = Double.NaN;
    private double reportedAt = Double.NaN;

    /** Average before the version on probation; NaN if it was not known. */
    private double baselineService = Double.NaN;

    /** Since when service is below the baseline; NaN while it is not. */
    private double lowSince = Double.NaN;

    private boolean fleetCalm = true;

    /** Whether the fleet was disturbed at some time of the probation before service dropped. */
    private boolean disturbedBeforeDrop;

    /**
     * Takes a measurement.
     *
     * @param now when it was made, in ms
     * @param serviceShare service, 0 to 1
     * @param fleetIsCalm whether nothing is lost or rejected that a change could make worse
     * @param onProbation whether a version is on probation
     */
    void serviceReported(
            double now, double serviceShare, boolean fleetIsCalm, boolean onProbation) {
        double smoothing =
                Double.isNaN(reportedAt) ? 1 : Math.min(1, (now - reportedAt) / AVERAGING_MILLIS);
        reportedAt = now;
        averageService =
                Double.isNaN(averageService)
                        ? serviceShare
                        : averageService + (serviceShare - averageService) * smoothing;
        fleetCalm = fleetIsCalm;
        if (!fleetCalm && !isLow()) {
            disturbedBeforeDrop = true;
        }
        if (!onProbation || !(serviceShare < baselineService - MAX_SERVICE_DROP)) {
            lowSince = Double.NaN;
        } else if (!isLow()) {
            lowSince = now;
        }
    }

    /** A version comes in force: service is compared with the average up to now. */
    void probationStarted() {
        baselineService = averageService;
        disturbedBeforeDrop = false;
        lowSince = Double.NaN;
    }

    boolean isFleetCalm() {
        return fleetCalm;
    }

    /** Whether service is below the baseline, for however short a time. */
    boolean isLow() {
        return !Double.isNaN(lowSince);
    }

    /** Whether service has been below the baseline for so long that it counts. */
    boolean hasDropped(double now) {
        return now - lowSince > MIN_DROP_MILLIS;
    }

    /** Whether the fleet was disturbed before service dropped, which then may be the cause. */
    boolean wasDisturbedBeforeDrop() {
        return disturbedBeforeDrop;
    }

    /** Starts over with the current drop, after it was reported. */
    void forgetDrop() {
        lowSince = Double.NaN;
    }

    double baselineService() {
        return baselineService;
    }

    double averageService() {
        return averageService;
    }
}
