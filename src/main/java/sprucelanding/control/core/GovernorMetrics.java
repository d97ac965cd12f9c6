package sprucelanding.control.core;

/**
 * Maximum values since the last read: the duration of a batch, and the difference between the
 * controller's model of the channel and the number of unanswered entries.
 */
final class GovernorMetrics {
    private static final double ROUNDING_STEPS_PER_MILLI = 10.0;

    private double longestBatchMillis;
    private double maxModelEntries;
    private double maxModelExcess;
    private double maxModelShortfall;

    /** Records the difference between the modelled and the actual number of unanswered entries. */
    void recordChannel(double modelEntries, int actualEntries) {
        maxModelEntries = Math.max(maxModelEntries, modelEntries);
        maxModelExcess = Math.max(maxModelExcess, modelEntries - actualEntries);
        maxModelShortfall = Math.max(maxModelShortfall, actualEntries - modelEntries);
    }

    /** Records the duration of a batch, in ms. */
    void recordBatch(double millis) {
        longestBatchMillis = Math.max(longestBatchMillis, millis);
    }

    /**
     * Returns the maximum values as log fields, with keys and values alternating, and resets them.
     */
    Object[] takeFields() {
        Object[] fields = {
            "modelMostLines",
            Math.round(maxModelEntries),
            "modelOverLines",
            Math.round(maxModelExcess),
            "modelUnderLines",
            Math.round(maxModelShortfall),
            "longestRoundMs",
            Math.round(longestBatchMillis * ROUNDING_STEPS_PER_MILLI) / ROUNDING_STEPS_PER_MILLI
        };
        longestBatchMillis = 0;
        maxModelEntries = 0;
        maxModelExcess = 0;
        maxModelShortfall = 0;
        return fields;
    }
}
