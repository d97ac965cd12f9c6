package sprucelanding.control.edits;

/**
 * State of a confirmed commit (RFC 6241, section 8.4): the time until which the device may still
 * roll it back. Times are ms on the host's clock.
 */
final class ConfirmedCommit {
    private static final double NONE = 0;

    private final double confirmTimeoutMillis;
    private double rollbackDeadline = NONE;

    /**
     * Creates the state without a commit.
     *
     * @param confirmTimeoutMillis time after which the device rolls back a commit that was not
     *     confirmed, in ms
     */
    ConfirmedCommit(double confirmTimeoutMillis) {
        this.confirmTimeoutMillis = confirmTimeoutMillis;
    }

    /** Records that the device has made the commit and waits for the confirmation. */
    void committed(double now) {
        rollbackDeadline = now + confirmTimeoutMillis;
    }

    /** Records that the device may have made the commit at this time. */
    void possiblyCommitted(double now) {
        rollbackDeadline = Math.max(rollbackDeadline, now + confirmTimeoutMillis);
    }

    /** Records that there is no commit that the device may roll back. */
    void clear() {
        rollbackDeadline = NONE;
    }

    /** Clears a commit that the device must have rolled back by now. */
    void clearIfExpired(double now) {
        if (!mayBeRolledBack(now)) {
            clear();
        }
    }

    /** Returns whether the device may still roll back a commit. */
    boolean mayBeRolledBack(double now) {
        return rollbackDeadline > now;
    }

    /** Returns the time until which the device may roll back a commit. */
    double rollbackDeadline() {
        return rollbackDeadline;
    }
}
