package sprucelanding.control.membership;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The owner's record of its sessions at the voters: when each voter was last asked with success.
 * Leases are counted from the time at which the request was sent, on the owner's clock, so that the
 * owner stops before the voters are free.
 */
final class VoterRenewals {
    /** The session of this governor at one voter, as the voter last reported it. */
    private static final class Renewal {
        long voterGeneration;
        long sessionNumber;
        double requestSentAt = Double.NEGATIVE_INFINITY;
    }

    /** Number of a session that is below all that a voter of the same generation can tell. */
    private static final long NO_SESSION = -1;

    private final double leaseMillis;
    private final Renewal[] renewalsByVoter;

    /** Deadlines by set of voters, a bit each, for as long as no renewal changes. */
    private final Map<Integer, Double> deadlinesByVoters = new HashMap<>();

    VoterRenewals(int governorCount, double leaseMillis) {
        this.leaseMillis = leaseMillis;
        this.renewalsByVoter = new Renewal[governorCount];
        Arrays.setAll(renewalsByVoter, i -> new Renewal());
    }

    /** Whether the grant is of an earlier generation or session of its voter than is known. */
    boolean isStale(Grant grant) {
        Renewal renewal = renewalsByVoter[grant.voter()];
        return grant.voterGeneration() < renewal.voterGeneration
                || grant.voterGeneration() == renewal.voterGeneration
                        && grant.session() < renewal.sessionNumber;
    }

    /** Whether the voter has begun another session, so that what it granted before is void. */
    boolean isOfNewSession(Grant grant) {
        Renewal renewal = renewalsByVoter[grant.voter()];
        return grant.voterGeneration() != renewal.voterGeneration
                || grant.session() != renewal.sessionNumber;
    }

    /** The voter has begun the session that the grant tells of. */
    void resetSession(Grant grant) {
        reset(grant.voter(), grant.voterGeneration(), grant.session());
    }

    /** The voter has restarted, and its session for this governor is not yet known. */
    void resetGeneration(int voter, long voterGeneration) {
        reset(voter, voterGeneration, NO_SESSION);
    }

    private void reset(int voter, long voterGeneration, long sessionNumber) {
        Renewal renewal = renewalsByVoter[voter];
        renewal.voterGeneration = voterGeneration;
        renewal.sessionNumber = sessionNumber;
        renewal.requestSentAt = Double.NEGATIVE_INFINITY;
        deadlinesByVoters.clear();
    }

    /** The voter has answered a request that was sent at that time. */
    void renew(int voter, double requestSentAt) {
        Renewal renewal = renewalsByVoter[voter];
        if (requestSentAt > renewal.requestSentAt) {
            renewal.requestSentAt = requestSentAt;
            deadlinesByVoters.clear();
        }
    }

    /** Whether a majority has answered within a lease. */
    boolean hasMajority(double now) {
        int count = 0;
        for (Renewal renewal : renewalsByVoter) {
            if (renewal.requestSentAt + leaseMillis > now) {
                count++;
            }
        }
        return 2 * count > renewalsByVoter.length;
    }

    /**
     * ms until which grants of these voters, a bit each, make an owner; negative infinity if they
     * are no majority.
     */
    double deadline(int voters) {
        if (2 * Integer.bitCount(voters) <= renewalsByVoter.length) {
            return Double.NEGATIVE_INFINITY;
        }
        return deadlinesByVoters.computeIfAbsent(voters, this::computeDeadline);
    }

    /** A lease after the oldest request of the majority that was asked last. */
    private double computeDeadline(int voters) {
        double[] sentTimes = new double[Integer.bitCount(voters)];
        int count = 0;
        for (int voter = 0; voter < renewalsByVoter.length; voter++) {
            if ((voters >> voter & 1) == 1) {
                sentTimes[count] = renewalsByVoter[voter].requestSentAt;
                count++;
            }
        }
        Arrays.sort(sentTimes);
        int majority = renewalsByVoter.length / 2 + 1;
        return sentTimes[count - majority] + leaseMillis;
    }
}
