package sprucelanding.control.core;

/**
 * Extremes since they were last read: how long a batch took, and how far the controller's model of
 * the channel is from the entries that are really unanswered.
 */
final class GovernorMetrics {
    private static final double ROUNDING_STEPS = 10.0;

    private double longestBatchMillis;
    private double maxModelEntries;
    private double maxModelExcess;
    private double maxModelShortfall;

    /** Compares the model with what is unanswered. */
    void recordChannel(double modelEntries, int actualEntries) {
        maxModelEntries = Math.max(maxModelEntries, modelEntries);
        maxModelExcess = Math.max(maxModelExcess, modelEntries - actualEntries);
        maxModelShortfall = Math.max(maxModelShortfall, actualEntries - modelEntries);
    }

    void recordBatch(double millis) {
        longestBatchMillis = Math.max(longestBatchMillis, millis);
    }

    /** The extremes as log fields, keys and values in turn; then begins anew. */
    Object[] takeFields() {
        Object[] fields = {
            "modelMostLines",
            Math.round(maxModelEntries),
            "modelOverLines",
            Math.round(maxModelExcess),
            "modelUnderLines",
            Math.round(maxModelShortfall),
            "longestRoundMs",
            Math.round(longestBatchMillis * ROUNDING_STEPS) / ROUNDING_STEPS
        };
        longestBatchMillis = 0;
        maxModelEntries = 0;
        maxModelExcess = 0;
        maxModelShortfall = 0;
        return fields;
    }
}
