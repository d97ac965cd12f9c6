package sprucelanding.control.membership;

/**
 * The session of one governor at a voter. What was granted to the governor counts as long as its
 * session does; a session that has ended gets a new number when the governor is heard again.
 */
final class VoterSession {
    private static final long NEVER_HEARD = 0;

    private long generation = NEVER_HEARD;
    private long lastSequence;
    private long number;
    private double expiresAt = Double.NEGATIVE_INFINITY;
    private GovernorLoad reportedLoad = new GovernorLoad(0, 0, -1);
    private double lastHeardAt = Double.NEGATIVE_INFINITY;

    /** Whether the request is late or of an earlier generation. */
    boolean isStale(LeaseRequest request) {
        return request.generation() < generation
                || request.generation() == generation && request.sequence() <= lastSequence;
    }

    /** Whether the governor was heard in an earlier generation than the request is of. */
    boolean isRestart(LeaseRequest request) {
        return request.generation() > generation && generation != NEVER_HEARD;
    }

    /** Takes over what a request that is not stale tells of its sender. */
    void accept(LeaseRequest request, double now) {
        if (request.generation() > generation) {
            number++;
        }
        generation = request.generation();
        lastSequence = request.sequence();
        reportedLoad = request.load();
        lastHeardAt = now;
    }

    /** Lets the session last until a time; begins a new one if the former one has ended. */
    void renew(double now, double until) {
        if (expiresAt < now) {
            number++; // what was granted in it may have been granted to others since
        }
        expiresAt = Math.max(expiresAt, until);
    }

    /** Whether a session of that generation and number lasts now. */
    boolean isOpen(long itsGeneration, long itsNumber, double now) {
        return generation == itsGeneration && number == itsNumber && expiresAt >= now;
    }

    boolean wasHeardWithin(double millis, double now) {
        return lastHeardAt + millis >= now;
    }

    long generation() {
        return generation;
    }

    long number() {
        return number;
    }

    GovernorLoad reportedLoad() {
        return reportedLoad;
    }
}
