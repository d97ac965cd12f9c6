package sprucelanding.simulation.loopback;

import java.util.OptionalDouble;

/** Faults of a device that its NETCONF sessions have to heed. All calls on the device's loop. */
final class DeviceFaults {
    private static final long NO_ENDPOINT = 0;

    private double lockedUntil;
    private int responsesToDrop;
    private long forbiddenEndpoint = NO_ENDPOINT;
    private OptionalDouble breakAfterCommitMillis = OptionalDouble.empty();

    void lockUntil(double time) {
        lockedUntil = time;
    }

    /** Whether another manager holds the lock. */
    boolean isLocked(double now) {
        return now < lockedUntil;
    }

    void dropResponses(int responses) {
        responsesToDrop = responses;
    }

    /** Whether the next response is dropped; each call counts as one. */
    boolean takeDroppedResponse() {
        if (responsesToDrop <= 0) {
            return false;
        }
        responsesToDrop--;
        return true;
    }

    void forbidEndpoint(long endpointId) {
        forbiddenEndpoint = endpointId;
    }

    /** Whether edits of this endpoint's entries are rejected. */
    boolean isForbidden(long endpointId) {
        return endpointId == forbiddenEndpoint;
    }

    void breakBeforeConfirm(double millis) {
        breakAfterCommitMillis = millis > 0 ? OptionalDouble.of(millis) : OptionalDouble.empty();
    }

    /**
     * If the session breaks after this confirmed commit: the ms after which it is taken back. Once.
     */
    OptionalDouble takeBreakAfterCommit() {
        OptionalDouble taken = breakAfterCommitMillis;
        breakAfterCommitMillis = OptionalDouble.empty();
        return taken;
    }
}
