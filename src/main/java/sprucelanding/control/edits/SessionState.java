package sprucelanding.control.edits;

/**
 * States of a {@link DeviceEditSession}.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>state</th><th>event</th><th>next state</th></tr>
 *   <tr><td>any</td><td>session opened</td><td>UNREAD</td></tr>
 *   <tr><td>UNREAD</td><td>READ answered</td><td>UNLOCKED</td></tr>
 *   <tr><td>UNLOCKED</td><td>LOCK succeeded</td><td>LOCKED</td></tr>
 *   <tr><td>LOCKED</td><td>UNLOCK succeeded or failed, DISCARD failed</td><td>UNLOCKED</td></tr>
 *   <tr><td>any</td><td>session lost; READ failed; LOCK, UNLOCK, READ, SUBSCRIBE or DISCARD
 *       timed out; lock held by another session for longer than the timeout</td>
 *       <td>CLOSED</td></tr>
 * </table>
 */
enum SessionState {
    /** No session is open, or the session is no longer usable. */
    CLOSED,
    /** The session is open; the state of the device is not known yet. */
    UNREAD,
    /** The session is open and the device has been read. */
    UNLOCKED,
    /** The session is open, the device has been read, and the session has locked the datastore. */
    LOCKED
}
