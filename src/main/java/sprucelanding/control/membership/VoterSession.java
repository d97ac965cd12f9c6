package sprucelanding.control.membership;

/**
 * The session of one governor at a voter. A grant to the governor is valid only as long as the
 * session in which it was granted lasts. A session that has ended gets a new number when it is
 * renewed.
 */
final class VoterSession {
    private static final long NO_GENERATION = 0;

    private long generation = NO_GENERATION;
    private long lastSequence;
    private long number;
    private double expiresAt = Double.NEGATIVE_INFINITY;
    private GovernorLoad reportedLoad = new GovernorLoad(0, 0, -1);
    private double lastRequestAt = Double.NEGATIVE_INFINITY;

    /** Returns whether the request is late or of an earlier generation. */
    boolean isStale(LeaseRequest request) {
        return request.generation() < generation
                || request.generation() == generation && request.sequence() <= lastSequence;
    }

    /**
     * Returns whether the request shows a restart: an earlier generation of the governor is known.
     */
    boolean isRestart(LeaseRequest request) {
        return request.generation() > generation && generation != NO_GENERATION;
    }

    /** Updates the session from a request, which must not be stale. */
    void accept(LeaseRequest request, double now) {
        if (request.generation() > generation) {
            number++;
        }
        generation = request.generation();
        lastSequence = request.sequence();
        reportedLoad = request.load();
        lastRequestAt = now;
    }

    /** Extends the session until a time in ms. Starts a new session if the former one has ended. */
    void renew(double now, double until) {
        if (expiresAt < now) {
            number++; // proxies granted in the former session may have been granted to others since
        }
        expiresAt = Math.max(expiresAt, until);
    }

    /** Returns whether the session with a generation and a number is open now. */
    boolean isOpen(long grantGeneration, long grantNumber, double now) {
        return generation == grantGeneration && number == grantNumber && expiresAt >= now;
    }

    boolean hasRequestWithin(double millis, double now) {
        return lastRequestAt + millis >= now;
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
