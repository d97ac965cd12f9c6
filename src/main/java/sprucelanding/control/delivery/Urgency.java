package sprucelanding.control.delivery;

/** Urgency of a change: whether it has to be sent ahead of other changes. */
enum Urgency {
    /** The change may wait for the answer to the previous update and for the channel. */
    ORDINARY,
    /**
     * The change takes traffic away from an endpoint and has to be in force within the removal
     * grace.
     */
    URGENT
}
