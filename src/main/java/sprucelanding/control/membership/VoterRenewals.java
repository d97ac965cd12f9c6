package sprucelanding.control.membership;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The owner's record of its sessions at the voters: for each voter, the send time of the latest
 * request that the voter answered. Leases are counted from the send time of the request on the
 * owner's clock, so that the owner stops writing before the voters may grant the proxies to others.
 */
final class VoterRenewals {
    /** The session of this governor at one voter, as the voter last reported it. */
    private static final class Renewal {
        long voterGeneration;
        long sessionNumber;
        double requestSentAt = Double.NEGATIVE_INFINITY;
    }

    /** A session number below all numbers that a voter of the same generation can report. */
    private static final long NO_SESSION = -1;

    private final double leaseMillis;
    private final Renewal[] renewalsByVoter;

    /** Cache of deadlines by set of voters, one bit each. It is cleared when a renewal changes. */
    private final Map<Integer, Double> deadlinesByVoters = new HashMap<>();

    VoterRenewals(int governorCount, double leaseMillis) {
        this.leaseMillis = leaseMillis;
        this.renewalsByVoter = new Renewal[governorCount];
        Arrays.setAll(renewalsByVoter, i -> new Renewal());
    }

    /**
     * Returns whether the grant is of an earlier generation or session of its voter than the known
     * one.
     */
    boolean isStale(Grant grant) {
        Renewal renewal = renewalsByVoter[grant.voter()];
        return grant.voterGeneration() < renewal.voterGeneration
                || grant.voterGeneration() == renewal.voterGeneration
                        && grant.session() < renewal.sessionNumber;
    }

    /**
     * Returns whether the voter has started a different session, which makes its earlier grants
     * void.
     */
    boolean isOfNewSession(Grant grant) {
        Renewal renewal = renewalsByVoter[grant.voter()];
        return grant.voterGeneration() != renewal.voterGeneration
                || grant.session() != renewal.sessionNumber;
    }

    /** Resets the record of the voter to the session of a grant. */
    void resetSession(Grant grant) {
        reset(grant.voter(), grant.voterGeneration(), grant.session());
    }

    /**
     * Resets the record of a voter that has restarted. The number of its new session is not yet
     * known.
     */
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

    /** Records that the voter has answered a request that was sent at a time in ms. */
    void renew(int voter, double requestSentAt) {
        Renewal renewal = renewalsByVoter[voter];
        if (requestSentAt > renewal.requestSentAt) {
            renewal.requestSentAt = requestSentAt;
            deadlinesByVoters.clear();
        }
    }

    /** Returns whether a majority of voters has answered within a lease. */
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
     * Returns the time in ms until which the grants of a set of voters, one bit each, make this
     * governor an owner. The time is negative infinity if the voters are not a majority.
     */
    double deadline(int voters) {
        if (2 * Integer.bitCount(voters) <= renewalsByVoter.length) {
            return Double.NEGATIVE_INFINITY;
        }
        return deadlinesByVoters.computeIfAbsent(voters, this::computeDeadline);
    }

    /**
     * Computes the deadline: one lease after the oldest send time among the majority of voters with
     * the latest send times.
     */
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
