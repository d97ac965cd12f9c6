package sprucelanding.control.decision;

/**
 * Converter of endpoint start times from the wall clock to the caller's clock.
 *
 * <p>The caller's clock is set from the machine's wall clock when the caller starts and runs
 * monotonically from then on. The wall clock may have been wrong by any amount at that moment. The
 * converter detects an error of the caller's clock by two rules:
 *
 * <ul>
 *   <li>An endpoint cannot have started in the future.
 *   <li>An endpoint that appears while the list is being watched has started within {@link
 *       #MAX_DISCOVERY_DELAY_MS}.
 * </ul>
 *
 * <p>The time between two starts is correct even if the caller's clock is wrong, so one correction
 * applies to all start times. The converter does not correct an error below {@link
 * #CLOCK_TOLERANCE_MS}, because such an error looks the same as a delayed discovery message.
 *
 * <p>If several ages are possible, the converter assumes the youngest. An endpoint whose age is
 * underestimated gets less traffic for a while; an endpoint whose age is overestimated may be
 * overloaded.
 */
public final class StartTimeConverter {
    /** Largest lead of a start time over the caller's clock that does not prove a clock error. */
    static final double CLOCK_TOLERANCE_MS = 1000;

    /** Time within which discovery reports a start while the endpoint list is being watched. */
    static final double MAX_DISCOVERY_DELAY_MS = 30_000;

    /** Lead of the caller's clock over the clock of the start times. */
    private double clockErrorMs;

    /**
     * Records a start time that discovery reported and corrects the clock error if necessary.
     *
     * @param bootMillis wall-clock time of the start, ms; 0 if the endpoint started long ago
     * @param now current time on the caller's clock, ms
     * @param seenStarting whether the start appeared on a list that was already being watched
     * @return whether the clock error was corrected, which changes the results of {@link
     *     #toHostTime} for all start times
     */
    public boolean observe(double bootMillis, double now, boolean seenStarting) {
        if (bootMillis <= 0) {
            return false;
        }
        double age = now - toHostTime(bootMillis);
        boolean impossible =
                age < -CLOCK_TOLERANCE_MS || seenStarting && age > MAX_DISCOVERY_DELAY_MS;
        if (impossible) {
            clockErrorMs = now - bootMillis;
        }
        return impossible;
    }

    /** Returns the start time on the caller's clock, ms; 0 if the endpoint started long ago. */
    public double toHostTime(double bootMillis) {
        return bootMillis <= 0 ? 0 : Math.max(1, bootMillis + clockErrorMs);
    }

    /** Returns the estimated lead of the caller's clock, ms. */
    public double clockErrorMs() {
        return clockErrorMs;
    }
}
