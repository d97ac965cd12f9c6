package sprucelanding.simulation.loopback;

import java.util.OptionalDouble;

/**
 * The faults of a device that its NETCONF sessions simulate. All calls must be made on the device's
 * event loop.
 */
final class DeviceFaults {
    private static final long NO_ENDPOINT = 0;

    private double lockedUntilMillis;
    private int responsesToDrop;
    private long forbiddenEndpoint = NO_ENDPOINT;
    private OptionalDouble rollbackAfterBreakMillis = OptionalDouble.empty();

    void lockUntil(double time) {
        lockedUntilMillis = time;
    }

    /** Returns whether the lock is held by another manager. */
    boolean isLocked(double now) {
        return now < lockedUntilMillis;
    }

    void dropResponses(int responses) {
        responsesToDrop = responses;
    }

    /** Returns whether to drop the next response. Each call consumes one drop. */
    boolean consumeResponseDrop() {
        if (responsesToDrop <= 0) {
            return false;
        }
        responsesToDrop--;
        return true;
    }

    void forbidEndpoint(long endpointId) {
        forbiddenEndpoint = endpointId;
    }

    /** Returns whether edits of this endpoint's entries are rejected. */
    boolean isForbidden(long endpointId) {
        return endpointId == forbiddenEndpoint;
    }

    void breakBeforeConfirm(double millis) {
        rollbackAfterBreakMillis = millis > 0 ? OptionalDouble.of(millis) : OptionalDouble.empty();
    }

    /**
     * Returns the time in ms after which this confirmed commit is rolled back, if the session is to
     * break after the commit. The fault applies to one commit only.
     */
    OptionalDouble consumeBreakAfterCommit() {
        OptionalDouble rollbackMillis = rollbackAfterBreakMillis;
        rollbackAfterBreakMillis = OptionalDouble.empty();
        return rollbackMillis;
    }
}
