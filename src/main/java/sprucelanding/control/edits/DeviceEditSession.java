package sprucelanding.control.edits;

import java.util.HashMap;
import java.util.Map;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * NETCONF edit session of one device, which brings edits into force (RFC 6241).
 *
 * <p>The front reports sessions ({@link #sessionOpened}), submits one edit at a time, and reports
 * the outcome of each requested operation: succeeded, failed, state read, or timed out. It then
 * calls {@link #decide} until that returns false. An edit whose outcome is unknown is never
 * repeated before the device has been read. {@link SessionState} defines the session states, {@link
 * OperationSequence} the order of an edit's operations. Called from one thread; times are ms on the
 * host's clock.
 */
public final class DeviceEditSession {
    /** Operations that the front performs at the device. The names are logged. */
    public enum Operation {
        /** Reads the routing configuration in the running datastore. */
        READ,
        /** Subscribes to notifications of statistics and of external changes (RFC 5277). */
        SUBSCRIBE,
        /** Locks the datastore that is edited. */
        LOCK,
        /** Edits the candidate datastore, or the running one if there is no candidate. */
        EDIT,
        /** Validates the candidate. */
        VALIDATE,
        /** Commits; the device rolls back unless a confirmation follows in time. */
        TRY_COMMIT,
        /** Confirms such a commit, from this session or a later one. */
        CONFIRM,
        /** Commits without a confirmation. */
        COMMIT,
        /** Discards the changes of the candidate. */
        DISCARD,
        /** Releases the lock. */
        UNLOCK
    }

    /**
     * Capabilities of a device (RFC 6241, section 8).
     *
     * @param candidate whether it has a candidate datastore
     * @param confirmedCommit whether it rolls back a commit that is not confirmed
     * @param validate whether it validates a candidate
     * @param writableRunning whether the running datastore can be edited
     * @param notifications whether it sends notifications (RFC 5277)
     */
    public record DeviceCapabilities(
            boolean candidate,
            boolean confirmedCommit,
            boolean validate,
            boolean writableRunning,
            boolean notifications) {}

    /** Actions that the session decides on; the front executes them. */
    public interface Actions {
        /**
         * Starts an operation.
         *
         * @param edit the edit if the operation is EDIT; null otherwise
         * @param timeoutMillis time within which the device has to answer, in ms
         */
        void perform(Operation operation, ResourceUpdate edit, double timeoutMillis);

        /** Reports that the edit is in force at the device. */
        void editApplied(ResourceUpdate edit);

        /** Reports that the device has rejected the edit. */
        void editRejected(ResourceUpdate edit, String reason);

        /** Reports the device's state after a session's first read or external changes. */
        void deviceStateRead(Map<ResourceName, String> versions);

        /** Closes the session, which is no longer usable. */
        void closeSession(String reason);

        /** Writes one line to the log; the fields are alternating keys and values. */
        void log(String event, Object... fields);
    }

    private final double answerTimeoutMillis;
    private final LockRetry lockRetry;
    private final ConfirmedCommit confirmedCommit;
    private final DeferredActions deferredActions = new DeferredActions();
    private double now;
    private OperationSequence sequence;
    private SessionState state = SessionState.CLOSED;

    /** Operation that the device has not answered yet; null if there is none. */
    private Operation pendingOperation;

    /** Operation that has to follow; null if the state determines it. */
    private Operation nextOperation;

    /** Submitted edit that is neither applied nor rejected; null if there is none. */
    private ResourceUpdate currentEdit;

    /** Whether the outcome of the edit is unknown. If so, the device has to be read. */
    private boolean isOutcomeUnknown;

    /** Whether the device has to be read because of a new session or external changes. */
    private boolean isReadRequested;

    /**
     * Creates a closed session.
     *
     * @param answerTimeoutMillis time within which the device has to answer an operation, in ms
     * @param confirmTimeoutMillis time after which the device rolls back an unconfirmed commit, ms
     * @param lockTimeoutMillis maximum wait for a lock held by another session, in ms
     */
    public DeviceEditSession(
            double answerTimeoutMillis, double confirmTimeoutMillis, double lockTimeoutMillis) {
        this.answerTimeoutMillis = answerTimeoutMillis;
        confirmedCommit = new ConfirmedCommit(confirmTimeoutMillis);
        lockRetry = new LockRetry(lockTimeoutMillis);
    }

    /** Sets the current time for all calls that follow. */
    public void setTime(double now) {
        this.now = now;
    }

    /** Returns the time of the next {@link #decide} without an event; infinity if there is none. */
    public double nextDecisionAt() {
        if (state == SessionState.CLOSED || pendingOperation != null) {
            return Double.POSITIVE_INFINITY;
        }
        if (isOutcomeUnknown && confirmedCommit.mayBeRolledBack(now)) {
            return confirmedCommit.rollbackDeadline();
        }
        return currentEdit == null
                ? Double.POSITIVE_INFINITY
                : lockRetry.nextAttemptAt().orElse(Double.POSITIVE_INFINITY);
    }

    /** Handles a new session with the device. */
    public void sessionOpened(DeviceCapabilities capabilities) {
        sequence = new OperationSequence(capabilities);
        state = SessionState.UNREAD;
        pendingOperation = null;
        nextOperation = null;
        isReadRequested = true;
        lockRetry.sessionOpened();
    }

    /** Handles the loss of the session; the current operation may or may not have taken effect. */
    public void sessionLost() {
        if (state != SessionState.CLOSED) {
            state = SessionState.CLOSED; // the device releases a session's locks when it ends
            isOutcomeUnknown |=
                    currentEdit != null
                            && sequence.mayHaveTakenEffect(pendingOperation, nextOperation);
            pendingOperation = null;
            nextOperation = null;
        }
    }

    /** Submits an edit. The previous edit must be applied or rejected. */
    public void submit(ResourceUpdate edit) {
        currentEdit = edit;
        isOutcomeUnknown = false;
    }

    /** Returns the edit that is neither applied nor rejected; null if there is none. */
    public ResourceUpdate currentEdit() {
        return currentEdit;
    }

    /** Handles a notification of external changes. */
    public void changedExternally() {
        isReadRequested = true;
    }

    /**
     * Handles the success of an operation. A late answer is ignored, because the operation has
     * timed out and the device is read before any operation is repeated.
     */
    public void operationSucceeded(Operation operation) {
        if (operation != pendingOperation) {
            return;
        }
        pendingOperation = null;
        switch (operation) {
            case LOCK -> {
                state = SessionState.LOCKED;
                lockRetry.acquired();
                nextOperation = Operation.EDIT;
            }
            case EDIT -> editSucceeded();
            case VALIDATE -> nextOperation = sequence.commitOperation();
            case TRY_COMMIT -> {
                confirmedCommit.committed(now);
                nextOperation = Operation.CONFIRM;
            }
            case CONFIRM, COMMIT -> editCompleted();
            case DISCARD -> nextOperation = sequence.lastOperation(state);
            case UNLOCK -> unlocked();
            default -> {} // stateRead handles READ; no operation follows SUBSCRIBE
        }
    }

    private void editSucceeded() {
        if (sequence.editsRunningDatastore()) {
            editCompleted();
        } else {
            nextOperation = sequence.afterEdit(currentEdit != null && currentEdit.hasRemovals());
        }
    }

    private void unlocked() {
        state = SessionState.UNLOCKED;
        nextOperation = null;
    }

    /**
     * Handles an operation that the device answered with an error.
     *
     * @param lockedByOthers whether another session holds the lock
     */
    public void operationFailed(Operation operation, boolean lockedByOthers, String reason) {
        if (operation != pendingOperation) {
            return;
        }
        pendingOperation = null;
        switch (operation) {
            case CONFIRM -> { // rolled back or already confirmed: the device has to be read
                isOutcomeUnknown = true;
                confirmedCommit.clear();
            }
            case READ -> closeSession("cannot read the device configuration: " + reason);
            case SUBSCRIBE -> deferredActions.log("device rejected subscription", "why", reason);
            case UNLOCK, DISCARD -> unlocked();
            case LOCK -> {
                if (lockedByOthers) {
                    lockDenied(reason);
                } else {
                    rejectEdit(null, reason);
                }
            }
            default -> rejectEdit(sequence.afterRejection(state), reason);
        }
    }

    private void lockDenied(String reason) {
        double deniedMillis = lockRetry.denied(now);
        if (lockRetry.isTimedOut(deniedMillis)) {
            closeSession("lock held by another session for " + Math.round(deniedMillis) + " ms");
            return;
        }
        if (lockRetry.isFirstDenial()) {
            deferredActions.log("device is locked by another session", "why", reason);
        }
        lockRetry.scheduleNextAttempt(now);
    }

    private void rejectEdit(Operation followUp, String reason) {
        ResourceUpdate rejectedEdit = currentEdit;
        currentEdit = null;
        nextOperation = followUp;
        if (rejectedEdit != null) {
            deferredActions.editRejected(rejectedEdit, reason);
        }
    }

    /** Handles the answer to a READ: the resource versions that the device holds. */
    public void stateRead(Map<ResourceName, String> versions) {
        if (pendingOperation != Operation.READ) {
            return;
        }
        pendingOperation = null;
        boolean resolvesOutcome = isOutcomeUnknown && currentEdit != null;
        isReadRequested &= resolvesOutcome; // only a separate read reports external changes
        boolean firstRead = state == SessionState.UNREAD;
        if (firstRead) {
            state = SessionState.UNLOCKED;
        }
        if (resolvesOutcome) {
            resolveOutcome(versions);
        } else {
            confirmedCommit.clearIfExpired(now);
        }
        if (firstRead && sequence.capabilities().notifications() && nextOperation == null) {
            nextOperation = Operation.SUBSCRIBE;
        }
        if (firstRead || !resolvesOutcome) { // an edit submitted meanwhile has not begun
            deferredActions.deviceStateRead(new HashMap<>(versions));
        }
    }

    private void resolveOutcome(Map<ResourceName, String> versions) {
        isOutcomeUnknown = false;
        if (!EditVerification.isInForce(versions, currentEdit)) {
            return; // the edit is started again
        }
        if (confirmedCommit.mayBeRolledBack(now)) {
            nextOperation = Operation.CONFIRM;
        } else {
            editCompleted();
        }
    }

    /** Handles an operation that the device did not answer in time. */
    public void operationTimedOut(Operation operation) {
        if (operation != pendingOperation) {
            return;
        }
        pendingOperation = null;
        deferredActions.log(
                "device did not answer", "op", operation, "ms", Math.round(answerTimeoutMillis));
        switch (operation) {
            case TRY_COMMIT -> {
                isOutcomeUnknown = true;
                confirmedCommit.possiblyCommitted(now);
            }
            case COMMIT -> {
                isOutcomeUnknown = true;
                confirmedCommit.clear();
            }
            case CONFIRM -> isOutcomeUnknown = true;
            case EDIT -> {
                isOutcomeUnknown = sequence.editsRunningDatastore(); // a candidate is not in force
                nextOperation = sequence.editsRunningDatastore() ? null : Operation.DISCARD;
            }
            case VALIDATE -> nextOperation = Operation.DISCARD;
            default -> closeSession("device did not answer " + operation);
        }
    }

    /** Takes one decision; returns false if there is none to take at present. */
    public boolean decide(Actions actions) {
        if (deferredActions.runNext(actions)) {
            return true;
        }
        if (state == SessionState.CLOSED || pendingOperation != null) {
            return false;
        }
        Operation operation = chooseOperation();
        if (operation == null) {
            return false;
        }
        nextOperation = null;
        if (operation == Operation.CONFIRM && !confirmedCommit.mayBeRolledBack(now)) {
            isOutcomeUnknown = true; // after a pause of this process the commit may be rolled back
            confirmedCommit.clear();
            return true;
        }
        pendingOperation = operation;
        actions.perform(
                operation, operation == Operation.EDIT ? currentEdit : null, answerTimeoutMillis);
        return true;
    }

    /** Returns the operation to start now; null if there is none. */
    private Operation chooseOperation() {
        if (nextOperation != null) {
            return nextOperation;
        }
        if (state == SessionState.UNREAD) {
            return Operation.READ;
        }
        if (isOutcomeUnknown) {
            // The device may still roll back what it holds, unless this session can confirm it.
            boolean waitForRollback =
                    confirmedCommit.mayBeRolledBack(now)
                            && sequence.capabilities().confirmedCommit()
                            && !isReadRequested;
            return waitForRollback ? null : Operation.READ;
        }
        if (currentEdit == null) {
            return state == SessionState.UNLOCKED && isReadRequested
                    ? Operation.READ
                    : sequence.lastOperation(state);
        }
        return lockRetry.isWaiting(now) ? null : sequence.firstOperation(state);
    }

    private void editCompleted() {
        ResourceUpdate edit = currentEdit;
        currentEdit = null;
        isOutcomeUnknown = false;
        confirmedCommit.clear();
        nextOperation = sequence.lastOperation(state);
        if (edit != null) {
            deferredActions.editApplied(edit);
        }
    }

    private void closeSession(String reason) {
        state = SessionState.CLOSED;
        deferredActions.closeSession(reason);
    }
}
