package sprucelanding.simulation.emulator;

import org.HdrHistogram.Histogram;

/** The times from a governor's orders to their acknowledgements. */
final class AcknowledgementTimes {
    private static final long MAX_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final Histogram micros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private double longestMillis;

    void record(double millis) {
        micros.recordValue((long) Math.max(0, millis * MICROS_PER_MILLI));
        longestMillis = Math.max(longestMillis, millis);
    }

    /** Adds the times of another governor; the longest stays with that one. */
    void add(AcknowledgementTimes other) {
        micros.add(other.micros);
    }

    /** The ms within which so many percent of the orders were acknowledged. */
    double millisAtPercentile(double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** The ms of the longest since the last call. */
    double takeLongest() {
        double longest = longestMillis;
        longestMillis = 0;
        return longest;
    }
}
