package sprucelanding.control.decision;

/**
 * Health check record of one endpoint: whether a check is in progress, and how many checks in a row
 * were missed or passed.
 */
final class HealthCheckHistory {
    /** Number of missed checks that an unreachable endpoint counts as. */
    private static final int UNREACHABLE_MISSED_CHECKS = 2;

    private boolean inProgress;

    /** Number of missed checks since the last check that found the endpoint healthy. */
    private int missed;

    /** Number of checks that found the endpoint healthy since the last missed check. */
    private int passed;

    /** Returns whether a check is scheduled, or requested and not yet completed. */
    boolean isInProgress() {
        return inProgress;
    }

    void started() {
        inProgress = true;
    }

    void completed(HealthCheckResult result) {
        int newlyMissed =
                !result.isMissed()
                        ? 0
                        : result == HealthCheckResult.UNREACHABLE ? UNREACHABLE_MISSED_CHECKS : 1;
        boolean healthy = result == HealthCheckResult.OK;
        passed = newlyMissed > 0 ? 0 : passed + (healthy ? 1 : 0);
        missed = healthy ? 0 : missed + newlyMissed;
        inProgress = false;
    }

    /**
     * Returns the number of missed checks since the last check that found the endpoint healthy. An
     * unreachable endpoint counts as two missed checks.
     */
    int missed() {
        return missed;
    }

    /** Returns the number of checks that found the endpoint healthy since the last missed check. */
    int passed() {
        return passed;
    }

    boolean isUnresponsive() {
        return missed > 0;
    }

    /**
     * Resets the number of passed checks. Called at an ejection, so that checks from before the
     * ejection do not count for the endpoint's return.
     */
    void resetPassed() {
        passed = 0;
    }

    /** Resets the record after the endpoint has started a new process. */
    void newProcessStarted() {
        missed = 0;
        passed = 1;
    }
}
