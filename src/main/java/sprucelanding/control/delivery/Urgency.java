package sprucelanding.control.delivery;

/** Whether a change has to be sent ahead of others. */
enum Urgency {
    /** May wait for the answer to the response before it, and for the channel. */
    ORDINARY,
    /** Takes traffic away from an endpoint: bound by the removal grace. */
    URGENT
}
