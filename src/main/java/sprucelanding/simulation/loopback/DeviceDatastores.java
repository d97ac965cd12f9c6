package sprucelanding.simulation.loopback;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The running and candidate datastores of a device, and its confirmed commit (RFC 6241, section
 * 8.4): a commit that is taken back unless it is confirmed in time. The startup datastore is empty.
 * Changed on the device's loop only; the running datastore may be read by other threads.
 */
final class DeviceDatastores {
    private volatile DeviceConfiguration running = new DeviceConfiguration();
    private volatile boolean rolledBack;

    /** Null if no session has a candidate. */
    private DeviceConfiguration candidate;

    /** What a commit that is not yet confirmed replaced. */
    private DeviceConfiguration rollback;

    /** The persist-id of that commit; empty if there is none. */
    private String pendingPersistId = "";

    private EventLoop.Timer rollbackTimer;

    DeviceConfiguration running() {
        return running;
    }

    /** The candidate; null if there is none. */
    DeviceConfiguration candidate() {
        return candidate;
    }

    /** Makes the candidate a copy of the running datastore. */
    void resetCandidate() {
        candidate = running.copy();
    }

    /** Takes the changes of a failed edit back. */
    void restoreCandidate(DeviceConfiguration before) {
        candidate = before;
    }

    void discardCandidate() {
        candidate = null;
    }

    /** Makes the candidate the running datastore for good. */
    void commit() {
        running = candidate.copy();
        endConfirmedCommit();
    }

    /**
     * Makes the candidate the running datastore until it is confirmed.
     *
     * @param onRolledBack runs on the loop when it has been taken back
     */
    void commitConfirmed(
            String persistId, EventLoop loop, double timeoutMillis, Runnable onRolledBack) {
        rollback = running;
        running = candidate.copy();
        pendingPersistId = persistId;
        if (rollbackTimer != null) {
            rollbackTimer.cancel();
        }
        rollbackTimer =
                loop.schedule(
                        timeoutMillis,
                        () -> {
                            running = rollback;
                            rolledBack = true;
                            endConfirmedCommit();
                            onRolledBack.run();
                        });
    }

    /** Confirms the pending commit; returns whether there is one of this persist-id. */
    boolean confirm(String persistId) {
        if (!persistId.equals(pendingPersistId)) {
            return false;
        }
        endConfirmedCommit();
        return true;
    }

    private void endConfirmedCommit() {
        rollback = null;
        pendingPersistId = "";
        if (rollbackTimer != null) {
            rollbackTimer.cancel();
            rollbackTimer = null;
        }
    }

    /** Back to the startup datastore, as after a reboot. */
    void reset() {
        running = new DeviceConfiguration();
        candidate = null;
        endConfirmedCommit();
    }

    /** Takes everything back that an earlier, unconfirmed commit brought. */
    void rollBackAll() {
        running = new DeviceConfiguration();
        rolledBack = true;
    }

    /** Whether the last confirmed commit was taken back. */
    boolean rolledBack() {
        return rolledBack;
    }

    void clearRolledBack() {
        rolledBack = false;
    }
}
