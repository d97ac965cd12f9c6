package sprucelanding.simulation.loopback;

import sprucelanding.runtime.eventloop.EventLoop;

/**
 * The running and candidate datastores of a device, and the device's confirmed commit (RFC 6241,
 * section 8.4). A confirmed commit is rolled back unless it is confirmed in time. The startup
 * datastore is empty. The datastores are changed only on the device's event loop; other threads may
 * read the running datastore.
 */
final class DeviceDatastores {
    private volatile DeviceConfiguration running = new DeviceConfiguration();
    private volatile boolean rolledBack;

    /** The candidate datastore; null if no session has a candidate. */
    private DeviceConfiguration candidate;

    /** The configuration that the pending confirmed commit replaced; null if none is pending. */
    private DeviceConfiguration rollbackTarget;

    /** The persist-id of the pending confirmed commit; empty if none is pending. */
    private String pendingPersistId = "";

    private EventLoop.Timer rollbackTimer;

    DeviceConfiguration running() {
        return running;
    }

    /** Returns the candidate datastore, or null if there is none. */
    DeviceConfiguration candidate() {
        return candidate;
    }

    /** Replaces the candidate datastore by a copy of the running datastore. */
    void resetCandidate() {
        candidate = running.copy();
    }

    /** Reverts the changes of a failed edit. */
    void restoreCandidate(DeviceConfiguration before) {
        candidate = before;
    }

    void discardCandidate() {
        candidate = null;
    }

    /** Copies the candidate to the running datastore, without a rollback timer. */
    void commit() {
        running = candidate.copy();
        endConfirmedCommit();
    }

    /**
     * Copies the candidate to the running datastore, and rolls the commit back unless it is
     * confirmed within the timeout.
     *
     * @param onRolledBack runs on the event loop after the commit was rolled back
     */
    void commitConfirmed(
            String persistId, EventLoop loop, double timeoutMillis, Runnable onRolledBack) {
        rollbackTarget = running;
        running = candidate.copy();
        pendingPersistId = persistId;
        if (rollbackTimer != null) {
            rollbackTimer.cancel();
        }
        rollbackTimer =
                loop.schedule(
                        timeoutMillis,
                        () -> {
                            running = rollbackTarget;
                            rolledBack = true;
                            endConfirmedCommit();
                            onRolledBack.run();
                        });
    }

    /** Confirms the pending commit, and returns whether that commit has this persist-id. */
    boolean confirm(String persistId) {
        if (!persistId.equals(pendingPersistId)) {
            return false;
        }
        endConfirmedCommit();
        return true;
    }

    private void endConfirmedCommit() {
        rollbackTarget = null;
        pendingPersistId = "";
        if (rollbackTimer != null) {
            rollbackTimer.cancel();
            rollbackTimer = null;
        }
    }

    /** Restores the startup datastore, as a reboot does. */
    void reset() {
        running = new DeviceConfiguration();
        candidate = null;
        endConfirmedCommit();
    }

    /** Rolls back an earlier, unconfirmed commit that introduced the whole configuration. */
    void rollBackAll() {
        running = new DeviceConfiguration();
        rolledBack = true;
    }

    /** Returns whether the last confirmed commit was rolled back. */
    boolean rolledBack() {
        return rolledBack;
    }

    void clearRolledBack() {
        rolledBack = false;
    }
}
