package sprucelanding.replay.estimate;

import java.util.List;

/**
 * A grouping of windows with the same symptom into runs. One window without the symptom may be
 * missing within a run. Any number of windows may be missing if load reports cover none of them
 * well.
 */
final class WindowRuns {
    private static final int MAX_STEP_WINDOWS = 2;

    private final ReportCoverage coverage;

    WindowRuns(ReportCoverage coverage) {
        this.coverage = coverage;
    }

    /** A consumer of the first and the last window of a run. */
    interface RunConsumer {
        void accept(int first, int last);
    }

    /**
     * Passes each run to the consumer, in order.
     *
     * @param windows indexes of the windows with the symptom, in ascending order
     */
    void forEach(List<Integer> windows, RunConsumer consumer) {
        int first = 0;
        for (int i = 1; i <= windows.size(); i++) {
            if (i == windows.size() || areSeparate(windows.get(i - 1), windows.get(i))) {
                consumer.accept(windows.get(first), windows.get(i - 1));
                first = i;
            }
        }
    }

    private boolean areSeparate(int earlier, int later) {
        if (later <= earlier + MAX_STEP_WINDOWS) {
            return false;
        }
        for (int window = earlier + 1; window < later; window++) {
            if (coverage.isWellReported(window)) {
                return true;
            }
        }
        return false;
    }
}
