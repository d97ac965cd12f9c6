package sprucelanding.control.edits;

import sprucelanding.control.edits.DeviceEditSession.DeviceCapabilities;
import sprucelanding.control.edits.DeviceEditSession.Operation;

/**
 * The order of an edit's operations at one device.
 *
 * <table>
 *   <caption>Operations of an edit; the next one while the session stays open</caption>
 *   <tr><th>operation</th><th>succeeded</th><th>failed</th><th>timed out</th></tr>
 *   <tr><td>LOCK</td><td>EDIT</td><td>held by others: LOCK after a backoff; else the edit is
 *       rejected</td><td>session closed</td></tr>
 *   <tr><td>EDIT, candidate</td><td>COMMIT for removals; else VALIDATE if the device can, else
 *       TRY_COMMIT or COMMIT</td><td>rejected, DISCARD</td><td>DISCARD, then again</td></tr>
 *   <tr><td>EDIT, running</td><td>applied</td><td>rejected</td><td>outcome unknown: READ</td></tr>
 *   <tr><td>VALIDATE</td><td>TRY_COMMIT or COMMIT</td><td>rejected, DISCARD</td>
 *       <td>DISCARD, then again</td></tr>
 *   <tr><td>TRY_COMMIT</td><td>CONFIRM</td><td>rejected, DISCARD</td>
 *       <td>outcome unknown: READ</td></tr>
 *   <tr><td>CONFIRM</td><td>applied, UNLOCK</td><td>outcome unknown: READ</td>
 *       <td>outcome unknown: READ</td></tr>
 *   <tr><td>COMMIT</td><td>applied, UNLOCK</td><td>rejected, DISCARD</td>
 *       <td>outcome unknown: READ</td></tr>
 *   <tr><td>DISCARD</td><td>UNLOCK</td><td>as UNLOCKED</td><td>session closed</td></tr>
 * </table>
 *
 * <p>A READ that finds an edit of unknown outcome in force settles it, by a CONFIRM if the device
 * may still take it back; otherwise the edit starts again.
 *
 * @param capabilities what the device can do
 */
record OperationSequence(DeviceCapabilities capabilities) {
    /** Whether edits go to the running datastore, where they are in force at once. */
    boolean editsRunning() {
        return !capabilities.candidate();
    }

    /** The first operation of an edit, with or without a lock. */
    Operation first(SessionState state) {
        return state == SessionState.LOCKED || editsRunning() ? Operation.EDIT : Operation.LOCK;
    }

    /**
     * What follows an edit of the candidate. Removals are committed at once: one round trip less
     * within the removal grace.
     */
    Operation afterEdit(boolean removals) {
        if (removals) {
            return Operation.COMMIT;
        }
        return capabilities.validate() ? Operation.VALIDATE : commit();
    }

    /** How an edit that is not urgent is committed. */
    Operation commit() {
        return capabilities.confirmedCommit() ? Operation.TRY_COMMIT : Operation.COMMIT;
    }

    /** What follows once the device has rejected an operation of the edit; null: nothing. */
    Operation afterRejection(SessionState state) {
        return editsRunning() ? last(state) : Operation.DISCARD;
    }

    /** What follows once the edit is settled; null: nothing. */
    Operation last(SessionState state) {
        return state == SessionState.LOCKED ? Operation.UNLOCK : null;
    }

    /** Whether the edit may be in force if the session is lost now. */
    boolean mayHaveTakenEffect(Operation pending, Operation next) {
        return pending == Operation.EDIT && editsRunning()
                || pending == Operation.TRY_COMMIT
                || pending == Operation.COMMIT
                || pending == Operation.CONFIRM
                || next == Operation.CONFIRM;
    }
}
