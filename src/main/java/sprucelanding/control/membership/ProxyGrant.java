package sprucelanding.control.membership;

/**
 * What a voter has granted of one proxy. The states:
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>none, OBSERVED, RELEASED</td><td>a claim is heard in the voter's quarantine, with a
 *       higher epoch than is known</td><td>OBSERVED</td></tr>
 *   <tr><td>none, OBSERVED, RELEASED, or GRANTED in a session that has ended</td><td>a claim with a
 *       higher epoch than is known</td><td>GRANTED to its sender</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>its grantee claims it again, with no lower
 *       epoch</td><td>GRANTED in the grantee's present session</td></tr>
 *   <tr><td>OBSERVED, GRANTED</td><td>its grantee releases it</td><td>RELEASED</td></tr>
 * </table>
 */
final class ProxyGrant {
    private enum State {
        /** Claimed by its grantee while the voter was in quarantine and granted nothing. */
        OBSERVED,
        /** Granted to its grantee, for as long as the grantee's session lasts. */
        GRANTED,
        /** Given up by its last grantee. */
        RELEASED
    }

    private static final int NO_GRANTEE = -1;

    private State state = State.RELEASED;
    private int grantee = NO_GRANTEE;
    private long granteeGeneration;
    private long sessionNumber;
    private long epoch;

    /** Another claim than those known was heard while nothing may be granted. */
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

    /** Whether the release is of the grantee and this grant, which is free then. */
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

    /** Whether it binds the voter, so that no other governor may get a grant. */
    boolean isInForce(VoterSession[] sessionsByGovernor, double now) {
        return state == State.GRANTED
                && sessionsByGovernor[grantee].isOpen(granteeGeneration, sessionNumber, now);
    }

    long epoch() {
        return epoch;
    }
}
