package sprucelanding.control.membership;

/**
 * The state of a voter's grant for one proxy.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>none, OBSERVED, RELEASED</td><td>a claim with a higher epoch than the known one arrives
 *       during the voter's quarantine</td><td>OBSERVED</td></tr>
 *   <tr><td>none, OBSERVED, RELEASED, or GRANTED in a session that has ended</td><td>a claim with a
 *       higher epoch than the known one arrives</td><td>GRANTED to the claim's sender</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>the grantee claims the proxy again with the same or a higher
 *       epoch</td><td>GRANTED in the grantee's current session</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>the grantee releases the proxy</td><td>RELEASED</td></tr>
 * </table>
 */
final class ProxyGrant {
    private enum State {
        /** Claimed by its grantee while the voter was in quarantine and granted nothing. */
        OBSERVED,
        /** Granted to its grantee for as long as the grantee's session lasts. */
        GRANTED,
        /** Released by its last grantee. */
        RELEASED
    }

    private static final int NO_GRANTEE = -1;

    private State state = State.RELEASED;
    private int grantee = NO_GRANTEE;
    private long granteeGeneration;
    private long sessionNumber;
    private long epoch;

    /** Records a newer claim that arrived while the voter may grant nothing. */
    void observe(int sender, long senderGeneration, long claimedEpoch) {
        state = State.OBSERVED;
        grantee = sender;
        granteeGeneration = senderGeneration;
        epoch = claimedEpoch;
    }

    void grant(int sender, VoterSession session, long claimedEpoch) {
        state = State.GRANTED;
        grantee = sender;
        granteeGeneration = session.generation();
        sessionNumber = session.number();
        epoch = claimedEpoch;
    }

    /**
     * Applies a release. Returns whether it came from the grantee and covers this grant, which
     * makes the proxy free.
     */
    boolean release(Release release, long releasedEpoch) {
        if (!isHeldBy(release.sender(), release.generation()) || epoch > releasedEpoch) {
            return false;
        }
        state = State.RELEASED;
        grantee = NO_GRANTEE;
        return true;
    }

    boolean isHeldBy(int governor, long generation) {
        return grantee == governor && granteeGeneration == generation;
    }

    /** Returns whether the grant is in force, so that no other governor may get a grant. */
    boolean isInForce(VoterSession[] sessionsByGovernor, double now) {
        return state == State.GRANTED
                && sessionsByGovernor[grantee].isOpen(granteeGeneration, sessionNumber, now);
    }

    long epoch() {
        return epoch;
    }
}
