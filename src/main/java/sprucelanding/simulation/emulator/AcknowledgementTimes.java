package sprucelanding.simulation.emulator;

import org.HdrHistogram.Histogram;

/** Histogram of the times from a governor's orders to their acknowledgements. */
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

    /**
     * Adds the histogram of another governor. The longest time of the other governor is not taken
     * over.
     */
    void add(AcknowledgementTimes other) {
        micros.add(other.micros);
    }

    /** Returns the time, in ms, within which this percentage of the orders was acknowledged. */
    double millisAtPercentile(double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns the longest time in ms since the last call, and resets it to 0. */
    double takeLongest() {
        double longest = longestMillis;
        longestMillis = 0;
        return longest;
    }
}
