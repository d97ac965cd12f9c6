package sprucelanding.replay.estimate;

import java.util.List;

/**
 * Joins windows that show the same symptom into runs. One window may be missing within a run, and
 * any number of which the reports tell too little.
 */
final class WindowRuns {
    private static final int MAX_STEP = 2;

    private final ReportCoverage coverage;

    WindowRuns(ReportCoverage coverage) {
        this.coverage = coverage;
    }

    /** Receives the first and the last window of a run. */
    interface RunConsumer {
        void accept(int first, int last);
    }

    /**
     * Calls the consumer once for each run, in order.
     *
     * @param windows indexes in ascending order
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
        if (later <= earlier + MAX_STEP) {
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
