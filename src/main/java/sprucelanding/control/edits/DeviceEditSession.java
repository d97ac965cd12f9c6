package sprucelanding.control.edits;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import sprucelanding.control.delivery.ResourceName;
import sprucelanding.control.delivery.ResourceUpdate;

/**
 * One device's transactions. Tell it: session (with what the device can do), wants (an edit to
 * bring in force), then for each operation asked of the front its answer: done, denied, read, or
 * lost when no answer came in time or the session broke. Then decide until it says false. An edit
 * whose outcome is unknown is never repeated before the device was read.
 */
public final class DeviceEditSession {
    /** What the front is asked to do at the device. */
    public enum Operation {
        /** Read what it holds of ours in the running datastore. */
        READ,
        /** Asks to be notified of what it meets and of what others change (RFC 5277). */
        SUBSCRIBE,
        LOCK,
        EDIT,
        VALIDATE,
        /** Commit that the device takes back by itself unless it is confirmed in time. */
        TRY_COMMIT,
        /** Confirms that, from this session or a later one. */
        CONFIRM,
        COMMIT,
        DISCARD,
        UNLOCK
    }

    /** What a device can do (RFC 6241, section 8). */
    public record DeviceCapabilities(
            boolean candidate,
            boolean confirmedCommit,
            boolean validate,
            boolean writableRunning,
            boolean notifications) {}

    public interface Actions {
        /** For EDIT the message, else null; its answer is waited for so long, in ms. */
        void perform(Operation operation, ResourceUpdate edit, double timeoutMillis);

        /** The edit is in force at the device. */
        void editApplied(ResourceUpdate edit);

        void editRejected(ResourceUpdate edit, String reason);

        /**
         * What the device holds; told after each session's first read, and when others have changed
         * it.
         */
        void deviceStateRead(Map<ResourceName, String> versions);

        /** The session is of no more use. */
        void closeSession(String reason);

        void log(String event, Object... fields);
    }

    private static final double INITIAL_LOCK_BACKOFF_MILLIS = 100;
    private static final double MAX_LOCK_BACKOFF_MILLIS = 1600;

    private final double answerTimeoutMillis;
    private final double confirmTimeoutMillis;
    private final double lockTimeoutMillis;
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private Actions actions;
    private double now;
    private DeviceCapabilities capabilities;
    private boolean sessionOpen;
    private boolean stateKnown;
    private boolean locked;

    /** The operation that is under way; null: none. */
    private Operation pendingOperation;

    private ResourceUpdate currentEdit;

    /** The edit may be in force or not: the device has to be read. */
    private boolean outcomeUnknown;

    /**
     * Until when a commit that was not confirmed may still be taken back by the device; 0: there is
     * none.
     */
    private double rollbackDeadline;

    private double lockBackoffMillis = INITIAL_LOCK_BACKOFF_MILLIS;
    private double nextLockAttemptAt;
    private double lockedOutSince = -1;
    private Operation nextOperation;
    private boolean readRequested;

    /**
     * @param answers ms that an answer is waited for
     * @param confirms ms after which the device takes back what was not confirmed
     * @param lockPatience ms that a lock of others is waited for
     */
    public DeviceEditSession(
            double answerTimeoutMillis, double confirmTimeoutMillis, double lockTimeoutMillis) {
        this.answerTimeoutMillis = answerTimeoutMillis;
        this.confirmTimeoutMillis = confirmTimeoutMillis;
        this.lockTimeoutMillis = lockTimeoutMillis;
    }

    public void setTime(double now) {
        this.now = now;
    }

    /**
     * ms on the host's clock at which to call decide again; infinite if nothing waits for a time.
     */
    public double nextDecisionAt() {
        if (!sessionOpen || pendingOperation != null) {
            return Double.POSITIVE_INFINITY;
        }
        boolean awaitingRollback = outcomeUnknown && rollbackDeadline > now;
        return awaitingRollback
                ? rollbackDeadline
                : currentEdit != null && lockedOutSince >= 0
                        ? nextLockAttemptAt
                        : Double.POSITIVE_INFINITY;
    }

    // What happened.

    public void sessionOpened(DeviceCapabilities capabilities) {
        this.capabilities = capabilities;
        sessionOpen = true;
        stateKnown = false;
        locked = false;
        pendingOperation = null;
        nextOperation = null;
        readRequested = true;
        lockedOutSince = -1;
    }

    /** The session broke. What was under way may have happened or not. */
    public void sessionLost() {
        if (sessionOpen) {
            sessionOpen = false;
            outcomeUnknown |=
                    currentEdit != null
                            && (pendingOperation == Operation.EDIT && !capabilities.candidate
                                    || pendingOperation == Operation.TRY_COMMIT
                                    || pendingOperation == Operation.COMMIT
                                    || pendingOperation == Operation.CONFIRM
                                    || nextOperation == Operation.CONFIRM);
            pendingOperation = null;
            nextOperation = null;
            locked = false; // locks end with their session
        }
    }

    /** An edit to bring in force, one at a time. */
    public void submit(ResourceUpdate edit) {
        currentEdit = edit;
        outcomeUnknown = false;
    }

    public ResourceUpdate currentEdit() {
        return currentEdit;
    }

    /** Others have changed the device. */
    public void changedByOthers() {
        readRequested = true;
    }

    public void operationSucceeded(Operation operation) {
        if (operation != pendingOperation) {
            return; // late: it was given up, and the device is read before anything is repeated
        }
        pendingOperation = null;
        switch (operation) {
            case LOCK -> {
                locked = true;
                lockedOutSince = -1;
                lockBackoffMillis = INITIAL_LOCK_BACKOFF_MILLIS;
                nextOperation = Operation.EDIT;
            }
            case EDIT -> {
                if (!capabilities.candidate) {
                    editCompleted();
                } else {
                    nextOperation =
                            isUrgent()
                                    ? Operation.COMMIT
                                    : capabilities.validate
                                            ? Operation.VALIDATE
                                            : commitOperation();
                }
            }
            case VALIDATE -> nextOperation = commitOperation();
            case TRY_COMMIT -> {
                rollbackDeadline = now + confirmTimeoutMillis;
                nextOperation = Operation.CONFIRM;
            }
            case CONFIRM, COMMIT -> editCompleted();
            case DISCARD -> nextOperation = locked ? Operation.UNLOCK : null;
            case UNLOCK -> {
                locked = false;
                nextOperation = null;
            }
            case READ, SUBSCRIBE -> {}
        }
    }

    /** The device answered with an error; held: by a lock of somebody else. */
    public void operationFailed(Operation operation, boolean lockedByOthers, String reason) {
        if (operation != pendingOperation) {
            return;
        }
        pendingOperation = null;
        if (operation == Operation.LOCK && lockedByOthers) {
            lockedOutSince = lockedOutSince < 0 ? now : lockedOutSince;
            if (now - lockedOutSince > lockTimeoutMillis) {
                closeSession(
                        "a lock held by others for " + Math.round(now - lockedOutSince) + " ms");
                return;
            }
            if (lockBackoffMillis == INITIAL_LOCK_BACKOFF_MILLIS) {
                pendingActions.add(
                        () -> actions.log("a device is locked by others", "why", reason));
            }
            nextLockAttemptAt = now + lockBackoffMillis;
            lockBackoffMillis = Math.min(MAX_LOCK_BACKOFF_MILLIS, 2 * lockBackoffMillis);
            return;
        }
        if (operation
                == Operation.CONFIRM) { // it was taken back already, or confirmed before: only the
            // device knows
            outcomeUnknown = true;
            rollbackDeadline = 0;
            return;
        }
        if (operation == Operation.READ) {
            closeSession("it cannot be read: " + reason);
            return;
        }
        if (operation == Operation.SUBSCRIBE) {
            pendingActions.add(() -> actions.log("a device does not notify", "why", reason));
            return;
        }
        if (operation == Operation.UNLOCK || operation == Operation.DISCARD) {
            locked = false;
            nextOperation = null;
            return;
        }
        ResourceUpdate rejectedEdit = currentEdit;
        currentEdit = null;
        nextOperation =
                operation == Operation.LOCK
                        ? null
                        : capabilities.candidate
                                ? Operation.DISCARD
                                : locked ? Operation.UNLOCK : null;
        if (rejectedEdit != null) {
            pendingActions.add(() -> actions.editRejected(rejectedEdit, reason));
        }
    }

    /** What the device holds. */
    public void stateRead(Map<ResourceName, String> versions) {
        if (pendingOperation != Operation.READ) {
            return;
        }
        pendingOperation = null;
        boolean resolvesOutcome = outcomeUnknown && currentEdit != null;
        readRequested &=
                resolvesOutcome; // what others changed is told by a read that settles nothing else
        boolean firstRead = !stateKnown;
        stateKnown = true;
        boolean shouldSubscribe = firstRead && capabilities.notifications;
        if (resolvesOutcome) {
            outcomeUnknown = false;
            if (isInForce(versions, currentEdit)) {
                if (rollbackDeadline > now) {
                    nextOperation =
                            Operation.CONFIRM; // still on trial, from the session that broke
                } else {
                    editCompleted();
                }
            }
        } else if (rollbackDeadline <= now) {
            rollbackDeadline = 0;
        }
        if (shouldSubscribe && nextOperation == null) {
            nextOperation = Operation.SUBSCRIBE;
        }
        if (firstRead || !resolvesOutcome) { // also if an edit came meanwhile: it has not begun
            Map<ResourceName, String> copy = new HashMap<>(versions);
            pendingActions.add(() -> actions.deviceStateRead(copy));
        }
    }

    /** No answer came in time. */
    public void operationTimedOut(Operation operation) {
        if (operation != pendingOperation) {
            return;
        }
        pendingOperation = null;
        pendingActions.add(
                () ->
                        actions.log(
                                "no answer from a device",
                                "op",
                                operation,
                                "ms",
                                Math.round(answerTimeoutMillis)));
        switch (operation) {
            case TRY_COMMIT, COMMIT, CONFIRM -> {
                outcomeUnknown = true;
                rollbackDeadline =
                        operation == Operation.COMMIT
                                ? 0
                                : Math.max(
                                        rollbackDeadline,
                                        operation == Operation.TRY_COMMIT
                                                ? now + confirmTimeoutMillis
                                                : 0);
            }
            case EDIT -> {
                outcomeUnknown = !capabilities.candidate; // of a candidate nothing is in force yet
                nextOperation = capabilities.candidate ? Operation.DISCARD : null;
            }
            case VALIDATE -> nextOperation = Operation.DISCARD;
            default -> closeSession("no answer to " + operation);
        }
    }

    // What is decided.

    /** One decision; false if there is none now. */
    public boolean decide(Actions actions) {
        this.actions = actions;
        Runnable action = pendingActions.poll();
        if (action != null) {
            action.run();
            return true;
        }
        if (!sessionOpen || pendingOperation != null) {
            return false;
        }
        Operation operation = chooseOperation();
        if (operation == null) {
            return false;
        }
        if (operation == Operation.CONFIRM
                && now >= rollbackDeadline) { // a pause of ours: it may have been taken back by now
            outcomeUnknown = true;
            nextOperation = null;
            rollbackDeadline = 0;
            return true;
        }
        nextOperation = null;
        pendingOperation = operation;
        actions.perform(
                operation, operation == Operation.EDIT ? currentEdit : null, answerTimeoutMillis);
        return true;
    }

    private Operation chooseOperation() {
        if (nextOperation != null) {
            return nextOperation;
        }
        if (!stateKnown) {
            return Operation.READ;
        }
        if (outcomeUnknown) {
            // What it holds while a commit is on trial may still be taken back, unless this session
            // can confirm it.
            return rollbackDeadline > now && capabilities.confirmedCommit && !readRequested
                    ? null
                    : Operation.READ;
        }
        if (currentEdit == null) {
            return locked ? Operation.UNLOCK : readRequested ? Operation.READ : null;
        }
        if (lockedOutSince >= 0 && now < nextLockAttemptAt) {
            return null;
        }
        return locked || !capabilities.candidate ? Operation.EDIT : Operation.LOCK;
    }

    /** Removals go without a trial: one round trip less on the way to the grace. */
    private boolean isUrgent() {
        return currentEdit != null && currentEdit.hasRemovals();
    }

    private Operation commitOperation() {
        return capabilities.confirmedCommit ? Operation.TRY_COMMIT : Operation.COMMIT;
    }

    private void editCompleted() {
        ResourceUpdate edit = currentEdit;
        currentEdit = null;
        outcomeUnknown = false;
        rollbackDeadline = 0;
        nextOperation = locked ? Operation.UNLOCK : null;
        if (edit != null) {
            pendingActions.add(() -> actions.editApplied(edit));
        }
    }

    private void closeSession(String reason) {
        sessionOpen = false;
        locked = false;
        pendingActions.add(() -> actions.closeSession(reason));
    }

    /** Whether all that an edit asks for is held, whoever brought it in force. */
    static boolean isInForce(Map<ResourceName, String> versions, ResourceUpdate edit) {
        return edit.resources.stream()
                        .allMatch(
                                resource ->
                                        resource.name().type()
                                                        == sprucelanding.control.delivery
                                                                .ResourceType.ENDPOINTS
                                                || resource.version()
                                                        .equals(versions.get(resource.name())))
                && edit.removedNames.stream().noneMatch(versions::containsKey);
    }
}
