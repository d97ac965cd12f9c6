package sprucelanding.control.edits;

import sprucelanding.control.edits.DeviceEditSession.DeviceCapabilities;
import sprucelanding.control.edits.DeviceEditSession.Operation;

/**
 * Order of the operations of an edit at one device.
 *
 * <table>
 *   <caption>Next operation of an edit while the session stays open</caption>
 *   <tr><th>operation</th><th>succeeded</th><th>failed</th><th>timed out</th></tr>
 *   <tr><td>LOCK</td><td>EDIT</td><td>held by another session: LOCK after a backoff; otherwise the
 *       edit is rejected</td><td>session closed</td></tr>
 *   <tr><td>EDIT, candidate</td><td>COMMIT for removals; otherwise VALIDATE if the device
 *       supports it, else TRY_COMMIT or COMMIT</td><td>rejected, DISCARD</td>
 *       <td>DISCARD, then the edit starts again</td></tr>
 *   <tr><td>EDIT, running</td><td>applied</td><td>rejected</td><td>outcome unknown: READ</td></tr>
 *   <tr><td>VALIDATE</td><td>TRY_COMMIT or COMMIT</td><td>rejected, DISCARD</td>
 *       <td>DISCARD, then the edit starts again</td></tr>
 *   <tr><td>TRY_COMMIT</td><td>CONFIRM</td><td>rejected, DISCARD</td>
 *       <td>outcome unknown: READ</td></tr>
 *   <tr><td>CONFIRM</td><td>applied, UNLOCK</td><td>outcome unknown: READ</td>
 *       <td>outcome unknown: READ</td></tr>
 *   <tr><td>COMMIT</td><td>applied, UNLOCK</td><td>rejected, DISCARD</td>
 *       <td>outcome unknown: READ</td></tr>
 *   <tr><td>DISCARD</td><td>UNLOCK</td><td>session state becomes UNLOCKED</td>
 *       <td>session closed</td></tr>
 * </table>
 *
 * <p>If a READ finds an edit of unknown outcome in force, the edit is completed, by a CONFIRM if
 * the device may still roll it back. Otherwise the edit starts again.
 *
 * @param capabilities capabilities of the device
 */
record OperationSequence(DeviceCapabilities capabilities) {
    /**
     * Returns whether edits are made in the running datastore, where they are in force immediately.
     */
    boolean editsRunningDatastore() {
        return !capabilities.candidate();
    }

    /**
     * Returns the first operation of an edit, which depends on whether a lock is required and
     * already held.
     */
    Operation firstOperation(SessionState state) {
        return state == SessionState.LOCKED || editsRunningDatastore()
                ? Operation.EDIT
                : Operation.LOCK;
    }

    /**
     * Returns the operation after an edit of the candidate. Removals are committed immediately,
     * which saves one round trip within the removal grace.
     */
    Operation afterEdit(boolean removals) {
        if (removals) {
            return Operation.COMMIT;
        }
        return capabilities.validate() ? Operation.VALIDATE : commitOperation();
    }

    /** Returns the operation that commits an edit that is not urgent. */
    Operation commitOperation() {
        return capabilities.confirmedCommit() ? Operation.TRY_COMMIT : Operation.COMMIT;
    }

    /**
     * Returns the operation after the device has rejected an operation of the edit; null if there
     * is none.
     */
    Operation afterRejection(SessionState state) {
        return editsRunningDatastore() ? lastOperation(state) : Operation.DISCARD;
    }

    /** Returns the operation after the edit is applied or rejected; null if there is none. */
    Operation lastOperation(SessionState state) {
        return state == SessionState.LOCKED ? Operation.UNLOCK : null;
    }

    /**
     * Returns whether the edit may be in force if the session is lost now.
     *
     * @param pending operation that the device has not answered; null if there is none
     * @param next operation that has to follow; null if there is none
     */
    boolean mayHaveTakenEffect(Operation pending, Operation next) {
        return pending == Operation.EDIT && editsRunningDatastore()
                || pending == Operation.TRY_COMMIT
                || pending == Operation.COMMIT
                || pending == Operation.CONFIRM
                || next == Operation.CONFIRM;
    }
}
