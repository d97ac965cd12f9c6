package sprucelanding.control.edits;

/** A confirmed commit (RFC 6241, section 8.4): until when the device may still take it back. */
final class ConfirmedCommit {
    private static final double NONE = 0;

    private final double confirmTimeoutMillis;
    private double rollbackDeadline = NONE;

    /**
     * Creates the state before any commit.
     *
     * @param confirmTimeoutMillis ms after which the device takes back what was not confirmed
     */
    ConfirmedCommit(double confirmTimeoutMillis) {
        this.confirmTimeoutMillis = confirmTimeoutMillis;
    }

    /** The device has made the commit, and waits for the confirmation. */
    void committed(double now) {
        rollbackDeadline = now + confirmTimeoutMillis;
    }

    /** The device may have made the commit now. */
    void maybeCommitted(double now) {
        rollbackDeadline = Math.max(rollbackDeadline, now + confirmTimeoutMillis);
    }

    /** There is no commit that the device may take back. */
    void clear() {
        rollbackDeadline = NONE;
    }

    /** Forgets a commit that the device must have taken back by now. */
    void clearIfExpired(double now) {
        if (!isRevocable(now)) {
            clear();
        }
    }

    /** Whether the device may still take back a commit. */
    boolean isRevocable(double now) {
        return rollbackDeadline > now;
    }

    /** Until when the device may take back a commit, ms on the host's clock. */
    double rollbackDeadline() {
        return rollbackDeadline;
    }
}
