package sprucelanding.control.decision;

/** The health checks of one endpoint: whether one is under way, and how the last ones ended. */
final class HealthCheckHistory {
    /** What a refused connection counts for, in missed checks. */
    private static final int UNREACHABLE_COUNT = 2;

    private boolean inProgress;

    /** Checks in a row that were missed, a refused connection counting for two. */
    private int missed;

    /** Checks in a row that were not missed, those that found the endpoint well. */
    private int passed;

    boolean isInProgress() {
        return inProgress;
    }

    /** A check is scheduled, or asked for. */
    void started() {
        inProgress = true;
    }

    void completed(HealthCheckResult result) {
        int newlyMissed =
                !result.isMissed()
                        ? 0
                        : result == HealthCheckResult.UNREACHABLE ? UNREACHABLE_COUNT : 1;
        boolean well = result == HealthCheckResult.OK;
        passed = newlyMissed > 0 ? 0 : passed + (well ? 1 : 0);
        missed = well ? 0 : missed + newlyMissed;
        inProgress = false;
    }

    int missed() {
        return missed;
    }

    int passed() {
        return passed;
    }

    boolean isUnresponsive() {
        return missed > 0;
    }

    /** The endpoint was ejected: checks that passed before do not count for its return. */
    void forgetPassed() {
        passed = 0;
    }

    /** Another process runs there now. */
    void newProcessStarted() {
        missed = 0;
        passed = 1;
    }
}
