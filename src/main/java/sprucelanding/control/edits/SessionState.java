package sprucelanding.control.edits;

/**
 * States of a {@link DeviceEditSession}.
 *
 * <table>
 *   <caption>States of a session</caption>
 *   <tr><th>state</th><th>event</th><th>next state</th></tr>
 *   <tr><td>any</td><td>session opened</td><td>UNREAD</td></tr>
 *   <tr><td>UNREAD</td><td>READ answered</td><td>UNLOCKED</td></tr>
 *   <tr><td>UNLOCKED</td><td>LOCK succeeded</td><td>LOCKED</td></tr>
 *   <tr><td>LOCKED</td><td>UNLOCK succeeded or failed, DISCARD failed</td><td>UNLOCKED</td></tr>
 *   <tr><td>any</td><td>session lost; READ failed; no answer to LOCK, UNLOCK, READ, SUBSCRIBE or
 *       DISCARD; lock held by others for too long</td><td>CLOSED</td></tr>
 * </table>
 */
enum SessionState {
    /** No session, or one that is of no more use. */
    CLOSED,
    /** Open; what the device holds is not known yet. */
    UNREAD,
    /** Open and read. */
    UNLOCKED,
    /** Open and read, and the datastore is locked by this session. */
    LOCKED
}
